import {ServiceError, type AccessToken, type Bundle} from '@bergamotgauge/model';
import express, {Router, type NextFunction, type Request, type Response} from 'express';
import {parseDeclarations} from './check-declarations.js';
import {EVERY_PARTNER, MAX_APPLY_BYTES} from './constants.js';
import type {ApplyRequest, Status} from './types.js';

/** Functions of an instance that the operator interface calls. */
export type OperatorService = Readonly<{
	/** Returns the operator of a request, or throws `unauthenticated` or `forbidden`. */
	authenticate: (authorization: string | undefined) => AccessToken;
	bundle: () => Bundle | undefined;
	apply: (operator: AccessToken, request: ApplyRequest) => Promise<Bundle>;
	/** Status of the instances and racks, and the number of jobs of the operator's partner. */
	status: (operator: AccessToken) => Status;
	/** Undefined for a job that does not exist or belongs to another partner. */
	explain: (operator: AccessToken, job: string) => unknown;
	drain: (instance: string) => Promise<void>;
}>;

const authenticateOperator = (service: OperatorService, request: Request): AccessToken =>
	service.authenticate(request.get('authorization'));

const readApplyRequest = (body: unknown): ApplyRequest => {
	const {basedOn, declarations} = (body ?? {}) as Readonly<{basedOn?: unknown; declarations?: unknown}>;
	if (!Number.isSafeInteger(basedOn) || (basedOn as number) < 0 || declarations === undefined) {
		throw new ServiceError('the body must have "basedOn", an integer of at least 0, and "declarations"', {
			code: 'bad-request',
			verdict: 'not-run',
		});
	}

	return {basedOn: basedOn as number, declarations: parseDeclarations(declarations)};
};

/** Removes the tokens of other partners from a bundle. */
const visibleBundle = (bundle: Bundle | undefined, {partner}: AccessToken): Bundle | undefined =>
	bundle && {
		...bundle,
		tokens: bundle.tokens.filter((token) => partner === EVERY_PARTNER || token.partner === partner),
	};

/**
Routes of the operator interface below `/v1/operator`.

@example
```ts
app.use('/v1/operator', createOperatorRouter(service));
```
*/
export const createOperatorRouter = (service: OperatorService): Router => {
	const router = Router();
	const json = express.json({limit: MAX_APPLY_BYTES});

	router.get('/bundle', (request, response) => {
		const operator = authenticateOperator(service, request);
		response.json({bundle: visibleBundle(service.bundle(), operator), partner: operator.partner});
	});
	const requireOperator = (request: Request, _response: Response, next: NextFunction) => {
		authenticateOperator(service, request);
		next();
	};

	// Authenticates first, so that the body of an unauthenticated request is never parsed.
	router.put('/bundle', requireOperator, json, async (request, response) => {
		const operator = authenticateOperator(service, request);
		const bundle = await service.apply(operator, readApplyRequest(request.body));
		response.json({generation: bundle.generation});
	});
	router.get('/status', (request, response) => {
		response.json(service.status(authenticateOperator(service, request)));
	});
	router.get('/jobs/:job/explanation', (request, response) => {
		const explanation = service.explain(authenticateOperator(service, request), request.params.job);
		if (explanation === undefined) {
			throw new ServiceError('no such job', {code: 'not-found', verdict: 'not-run'});
		}

		response.json(explanation);
	});
	router.post('/instances/:instance/drain', async (request, response) => {
		authenticateOperator(service, request);
		await service.drain(request.params.instance);
		response.status(202).json({});
	});
	return router;
};
