import {ServiceError} from '@bergamotgauge/model';
import express, {Router, type RequestHandler} from 'express';
import {authenticateCaller, requireAccepting} from './caller.js';
import {MAX_JOB_BODY_BYTES} from './constants.js';
import {parseJobBody} from './job-body.js';
import type {CallerService, JobView} from './types.js';

const requireJob = (job: JobView | undefined): JobView => {
	if (!job) {
		throw new ServiceError('no such job', {code: 'not-found', verdict: 'not-run'});
	}

	return job;
};

/**
Routes for jobs below `/v1/jobs`.

@example
```ts
app.use('/v1/jobs', createJobRouter(service));
```
*/
export const createJobRouter = (service: CallerService): Router => {
	const router = Router();
	const json = express.json({limit: MAX_JOB_BODY_BYTES});

	// The token is verified before the body is read.
	const authorize: RequestHandler = (request, _response, next) => {
		authenticateCaller(service, request);
		requireAccepting(service);
		next();
	};

	router.post('/', authorize, json, async (request, response) => {
		const {customer} = authenticateCaller(service, request);
		const job = await service.submitJob(customer, parseJobBody(request.body));
		response.status(202).json({id: job.id});
	});
	router.get('/', (request, response) => {
		const {customer} = authenticateCaller(service, request);
		response.json({jobs: service.listJobs(customer)});
	});
	router.get('/:job', async (request, response) => {
		const {customer} = authenticateCaller(service, request);
		response.json(requireJob(await service.findJob(customer, request.params.job)));
	});
	router.delete('/:job', async (request, response) => {
		const {customer} = authenticateCaller(service, request);
		response.status(202).json(requireJob(await service.cancelJob(customer, request.params.job)));
	});
	return router;
};
