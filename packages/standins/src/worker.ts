import {sleep} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import express, {type Request, type Response} from 'express';
import {listen} from './http.js';
import type {StandIn} from './types.js';
import {createWorkerModel, type PrepareBody, type TaskReference, type WorkerModel} from './worker-model.js';

export type WorkerStandIn = StandIn & Pick<WorkerModel, 'name' | 'faults' | 'tasks' | 'starts' | 'restart'>;

const parseTaskReference = (request: Request, token: number): TaskReference => {
	const id = String(request.params.task);
	const separator = id.lastIndexOf('.');
	return {job: id.slice(0, separator), attempt: Number(id.slice(separator + 1)), token};
};

const readToken = (request: Request): number => (request.body as Readonly<{token: number}>).token;

const respond = (response: Response, call: () => number): void => {
	try {
		response.json({sequence: call()});
	} catch (error) {
		const {status, message} = toServiceError(error, 'may-have-run');
		response.status(status).json({error: message});
	}
};

/**
Starts a stand-in for one worker, which serves the worker API over HTTP.

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
	app.use(['/v1/tasks', '/v1/lease'], async (_request, response, next) => {
		const {refuseStatus, loseResponses, lateMs} = model.faults;
		if (refuseStatus > 0) {
			response.status(refuseStatus).json({error: 'unhealthy'});
			return;
		}

		if (loseResponses || lateMs > 0) {
			response.json = () => {
				response.destroy();
				return response;
			};
		}

		if (lateMs > 0) {
			response.destroy();
			await sleep(lateMs);
		}

		next();
	});
	app.put('/v1/tasks/:task', (request, response) => {
		respond(response, () => model.prepare(request.body as PrepareBody));
	});
	app.post('/v1/tasks/:task/start', (request, response) => {
		respond(response, () => model.start(parseTaskReference(request, readToken(request))));
	});
	app.post('/v1/tasks/:task/checkpoint', (request, response) => {
		respond(response, () => model.checkpoint(parseTaskReference(request, readToken(request))));
	});
	app.post('/v1/tasks/:task/throttle', (request, response) => {
		const {cores} = request.body as Readonly<{cores: number}>;
		respond(response, () => model.throttle(parseTaskReference(request, readToken(request)), cores));
	});
	app.delete('/v1/tasks/:task', (request, response) => {
		respond(response, () => model.stop(parseTaskReference(request, Number(request.query.token))));
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
