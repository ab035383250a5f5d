import {toServiceError} from '@bergamotgauge/model';
import express, {type Request, type Response} from 'express';
import {listen} from './http.js';
import type {StandIn} from './types.js';
import {createWorkerModel, type PrepareBody, type TaskName, type WorkerModel} from './worker-model.js';

export type WorkerStandIn = StandIn & Pick<WorkerModel, 'name' | 'faults' | 'tasks' | 'starts' | 'restart'>;

const taskOf = (request: Request, token: number): TaskName => {
	const id = String(request.params.task);
	const separator = id.lastIndexOf('.');
	return {job: id.slice(0, separator), attempt: Number(id.slice(separator + 1)), token};
};

const tokenOf = (request: Request): number => (request.body as Readonly<{token: number}>).token;

const answer = (response: Response, call: () => number): void => {
	try {
		response.json({sequence: call()});
	} catch (error) {
		const {status, message} = toServiceError(error, 'may-have-run');
		response.status(status).json({error: message});
	}
};

/**
Starts a stand-in for one worker.

@example
```ts
const worker = await startWorker({name: 'w1'});
worker.faults.failAll = true;
```
*/
export const startWorker = async ({
	name,
	port = 0,
}: Readonly<{name: string; port?: number}>): Promise<WorkerStandIn> => {
	const model = createWorkerModel(name);
	const app = express();
	app.use(express.json());
	app.use((_request, _response, next) => {
		if (!model.faults.silent) {
			next();
		}
	});
	app.put('/v1/tasks/:task', (request, response) => {
		answer(response, () => model.prepare(request.body as PrepareBody));
	});
	app.post('/v1/tasks/:task/start', (request, response) => {
		answer(response, () => model.start(taskOf(request, tokenOf(request))));
	});
	app.post('/v1/tasks/:task/checkpoint', (request, response) => {
		answer(response, () => model.checkpoint(taskOf(request, tokenOf(request))));
	});
	app.post('/v1/tasks/:task/throttle', (request, response) => {
		const {cores} = request.body as Readonly<{cores: number}>;
		answer(response, () => model.throttle(taskOf(request, tokenOf(request)), cores));
	});
	app.delete('/v1/tasks/:task', (request, response) => {
		answer(response, () => model.stop(taskOf(request, Number(request.query.token))));
	});
	app.post('/v1/lease', (request, response) => {
		model.renewLease((request.body as Readonly<{leaseMs: number}>).leaseMs);
		response.json({});
	});
	app.get('/v1/report', async (request, response) => {
		const controller = new AbortController();
		response.on('close', () => {
			controller.abort();
		});
		const {after, waitMs} = request.query;
		response.json(await model.report(Number(after), Number(waitMs), controller.signal));
	});
	app.get('/starts', (_request, response) => {
		response.json(Object.fromEntries(model.starts));
	});
	const {faults, tasks, starts, restart} = model;
	return {...(await listen(app, port)), name, faults, tasks, starts, restart};
};
