import {ServiceError} from '@bergamotgauge/model';
import express, {Router} from 'express';
import {callerOf, requireAccepting, requireCaller} from './caller.js';
import {MAX_JOB_BODY_BYTES} from './constants.js';
import {parseJobBody} from './job-body.js';
import type {CallerService, JobView} from './types.js';

const found = (job: JobView | undefined): JobView => {
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

	router.post('/', requireCaller(service), json, async (request, response) => {
		const {customer} = callerOf(service, request);
		requireAccepting(service);
		const job = await service.submitJob(customer, parseJobBody(request.body));
		response.status(202).json({id: job.id});
	});
	router.get('/', (request, response) => {
		const {customer} = callerOf(service, request);
		response.json({jobs: service.listJobs(customer)});
	});
	router.get('/:job', (request, response) => {
		const {customer} = callerOf(service, request);
		response.json(found(service.findJob(customer, request.params.job)));
	});
	router.delete('/:job', async (request, response) => {
		const {customer} = callerOf(service, request);
		response.status(202).json(found(await service.cancelJob(customer, request.params.job)));
	});
	return router;
};
