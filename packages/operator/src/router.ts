import {ServiceError, type AccessToken, type Bundle, type Declarations} from '@bergamotgauge/model';
import express, {Router, type Request} from 'express';
import {MAX_APPLY_BYTES} from './constants.js';
import type {ApplyRequest, Status} from './types.js';

/** What the operator interface needs of an instance. */
export type OperatorService = Readonly<{
	/** Gives the operator of a request, or throws `unauthenticated` or `forbidden`. */
	authenticate: (authorization: string | undefined) => AccessToken;
	bundle: () => Bundle | undefined;
	apply: (operator: AccessToken, request: ApplyRequest) => Promise<Bundle>;
	status: () => Status;
	explain: (job: string) => unknown;
	drain: (instance: string) => Promise<void>;
}>;

const operatorOf = (service: OperatorService, request: Request): AccessToken =>
	service.authenticate(request.get('authorization'));

const readApplyRequest = (body: unknown): ApplyRequest => {
	const {basedOn, declarations} = (body ?? {}) as Readonly<{basedOn?: unknown; declarations?: unknown}>;
	if (!Number.isSafeInteger(basedOn) || typeof declarations !== 'object' || declarations === null) {
		throw new ServiceError('the body needs "basedOn", an integer, and "declarations"', {
			code: 'bad-request',
			verdict: 'not-run',
		});
	}

	return {basedOn: basedOn as number, declarations: declarations as Declarations};
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
		operatorOf(service, request);
		response.json({bundle: service.bundle()});
	});
	router.put('/bundle', json, async (request, response) => {
		const operator = operatorOf(service, request);
		const bundle = await service.apply(operator, readApplyRequest(request.body));
		response.json({generation: bundle.generation});
	});
	router.get('/status', (request, response) => {
		operatorOf(service, request);
		response.json(service.status());
	});
	router.get('/jobs/:job/explanation', (request, response) => {
		operatorOf(service, request);
		response.json(service.explain(request.params.job));
	});
	router.post('/instances/:instance/drain', async (request, response) => {
		operatorOf(service, request);
		await service.drain(request.params.instance);
		response.status(202).json({});
	});
	return router;
};
