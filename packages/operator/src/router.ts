import {ServiceError, type AccessToken, type Bundle} from '@bergamotgauge/model';
import express, {Router, type NextFunction, type Request, type Response} from 'express';
import {parseDeclarations} from './check-declarations.js';
import {EVERY_PARTNER, MAX_APPLY_BYTES} from './constants.js';
import type {ApplyRequest, Status} from './types.js';

/** What the operator interface needs of an instance. */
export type OperatorService = Readonly<{
	/** Gives the operator of a request, or throws `unauthenticated` or `forbidden`. */
	authenticate: (authorization: string | undefined) => AccessToken;
	bundle: () => Bundle | undefined;
	apply: (operator: AccessToken, request: ApplyRequest) => Promise<Bundle>;
	/** What the operator may see: its partner's jobs. */
	status: (operator: AccessToken) => Status;
	/** Undefined for a job that does not exist or belongs to another partner. */
	explain: (operator: AccessToken, job: string) => unknown;
	drain: (instance: string) => Promise<void>;
}>;

const operatorOf = (service: OperatorService, request: Request): AccessToken =>
	service.authenticate(request.get('authorization'));

const readApplyRequest = (body: unknown): ApplyRequest => {
	const {basedOn, declarations} = (body ?? {}) as Readonly<{basedOn?: unknown; declarations?: unknown}>;
	if (!Number.isSafeInteger(basedOn) || (basedOn as number) < 0 || declarations === undefined) {
		throw new ServiceError('the body needs "basedOn", an integer of at least 0, and "declarations"', {
			code: 'bad-request',
			verdict: 'not-run',
		});
	}

	return {basedOn: basedOn as number, declarations: parseDeclarations(declarations)};
};

/** An operator does not see the tokens of other partners. */
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
		const operator = operatorOf(service, request);
		response.json({bundle: visibleBundle(service.bundle(), operator), partner: operator.partner});
	});
	const requireOperator = (request: Request, _response: Response, next: NextFunction) => {
		operatorOf(service, request);
		next();
	};

	// The body of an unknown sender is not read.
	router.put('/bundle', requireOperator, json, async (request, response) => {
		const operator = operatorOf(service, request);
		const bundle = await service.apply(operator, readApplyRequest(request.body));
		response.json({generation: bundle.generation});
	});
	router.get('/status', (request, response) => {
		response.json(service.status(operatorOf(service, request)));
	});
	router.get('/jobs/:job/explanation', (request, response) => {
		const explanation = service.explain(operatorOf(service, request), request.params.job);
		if (explanation === undefined) {
			throw new ServiceError('no such job', {code: 'not-found', verdict: 'not-run'});
		}

		response.json(explanation);
	});
	router.post('/instances/:instance/drain', async (request, response) => {
		operatorOf(service, request);
		await service.drain(request.params.instance);
		response.status(202).json({});
	});
	return router;
};
