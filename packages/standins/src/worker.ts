import {sleep} from '@bergamotgauge/lifecycle';
import type {Block, WorkerReport} from '@bergamotgauge/model';
import express, {type Response} from 'express';
import {DEFAULT_RUN_MS} from './constants.js';
import {listen} from './http.js';
import type {StandIn, TaskBehaviour, WorkerTask} from './types.js';

export type WorkerStandIn = StandIn &
	Readonly<{
		name: string;
		tasks: ReadonlyMap<string, WorkerTask>;
		/** Number of times that each job's task was started here. */
		starts: ReadonlyMap<string, number>;
		/** Accelerators that two tasks held at the same time, ever. */
		overlaps: () => number;
		faults: WorkerFaults;
	}>;

export type WorkerFaults = {
	/** Every task that starts fails. */
	failAll: boolean;
	/** No call is answered. */
	silent: boolean;
};

type PrepareBody = Readonly<{
	job: string;
	attempt: number;
	token: number;
	block: Block;
	cores: number;
	memoryGigabytes: number;
	isLead: boolean;
	payload: TaskBehaviour | undefined;
}>;

const holdsAccelerators = ({state}: WorkerTask): boolean => state === 'prepared' || state === 'running';

const overlaps = (a: Block, b: Block): boolean => a.first < b.first + b.count && b.first < a.first + a.count;

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
	const tasks = new Map<string, WorkerTask>();
	const starts = new Map<string, number>();
	const faults: WorkerFaults = {failAll: false, silent: false};
	const waiting = new Set<() => void>();
	const app = express();
	let sequence = Date.now();
	let leaseTimer: NodeJS.Timeout | undefined;
	let overlapCount = 0;

	const changed = (): number => {
		sequence += 1;
		for (const wake of waiting) {
			wake();
		}

		return sequence;
	};

	const stop = (task: WorkerTask) => {
		clearTimeout(task.timer);
		if (holdsAccelerators(task)) {
			task.state = 'stopped';
		}
	};

	const finish = (task: WorkerTask) => {
		const hasFailed = faults.failAll || task.behaviour.result === 'fail';
		task.state = hasFailed ? 'failed' : 'succeeded';
		if (hasFailed) {
			task.reason = 'the task failed';
		} else if (task.isLead) {
			task.answer = task.behaviour.answer ?? null;
		}

		changed();
	};

	const refuse = (response: Response, error: string) => {
		response.status(409).json({error});
	};

	const withTask = (id: string, token: number, response: Response, action: (task: WorkerTask) => void) => {
		const task = tasks.get(id);
		if (!task) {
			response.status(404).json({error: 'no such task'});
		} else if (task.token === token) {
			action(task);
			response.json({sequence: changed()});
		} else {
			refuse(response, `the fencing token is ${task.token}`);
		}
	};

	app.use(express.json());
	app.use((_request, _response, next) => {
		if (!faults.silent) {
			next();
		}
	});
	app.put('/v1/tasks/:task', (request, response) => {
		const {payload, ...body} = request.body as PrepareBody;
		const known = tasks.get(request.params.task);
		if (known && known.token > body.token) {
			refuse(response, `the fencing token is ${known.token}`);
			return;
		}

		if (known?.token === body.token) {
			response.json({sequence});
			return;
		}

		const others = [...tasks.values()].filter(
			(task) => task !== known && holdsAccelerators(task) && overlaps(task.block, body.block),
		);
		if (others.length > 0) {
			overlapCount += 1;
			refuse(response, `accelerators are held by job ${others[0]!.job}`);
			return;
		}

		if (known) {
			stop(known);
		}

		tasks.set(request.params.task, {...body, state: 'prepared', behaviour: payload ?? {}});
		response.json({sequence: changed()});
	});
	app.post('/v1/tasks/:task/start', (request, response) => {
		const {token} = request.body as Readonly<{token: number}>;
		withTask(request.params.task, token, response, (task) => {
			if (task.state !== 'prepared') {
				return;
			}

			task.state = 'running';
			starts.set(task.job, (starts.get(task.job) ?? 0) + 1);
			task.timer = setTimeout(() => {
				finish(task);
			}, task.behaviour.runMs ?? DEFAULT_RUN_MS);
		});
	});
	app.post('/v1/tasks/:task/checkpoint', (request, response) => {
		const {token} = request.body as Readonly<{token: number}>;
		withTask(request.params.task, token, response, (task) => {
			if (task.state === 'running') {
				stop(task);
				task.state = 'checkpointed';
			}
		});
	});
	app.post('/v1/tasks/:task/throttle', (request, response) => {
		const {token, cores} = request.body as Readonly<{token: number; cores: number}>;
		withTask(request.params.task, token, response, (task) => {
			task.cores = cores;
		});
	});
	app.delete('/v1/tasks/:task', (request, response) => {
		const task = tasks.get(request.params.task);
		if (task && task.token > Number(request.query.token)) {
			refuse(response, `the fencing token is ${task.token}`);
			return;
		}

		if (task) {
			stop(task);
			tasks.delete(request.params.task);
		}

		response.json({sequence: task ? changed() : sequence});
	});
	app.post('/v1/lease', (request, response) => {
		const {leaseMs} = request.body as Readonly<{leaseMs: number}>;
		clearTimeout(leaseTimer);
		leaseTimer = setTimeout(() => {
			for (const task of tasks.values()) {
				stop(task);
			}

			changed();
		}, leaseMs);
		leaseTimer.unref();
		response.json({sequence});
	});
	app.get('/v1/report', async (request, response) => {
		const after = Number(request.query.after);
		const controller = new AbortController();
		const wake = () => {
			controller.abort();
		};

		waiting.add(wake);
		response.on('close', wake);
		if (sequence <= after) {
			await sleep(Number(request.query.waitMs), controller.signal);
		}

		waiting.delete(wake);
		const report: WorkerReport = {
			worker: name,
			sequence,
			tasks: [...tasks.values()].map((task) => ({
				job: task.job,
				attempt: task.attempt,
				token: task.token,
				state: task.state,
				coresUsed: task.cores,
				memoryGigabytesUsed: task.memoryGigabytes,
				...(task.answer !== undefined && {answer: task.answer}),
				...(task.reason !== undefined && {reason: task.reason}),
			})),
		};
		response.json(report);
	});
	app.get('/starts', (_request, response) => {
		response.json(Object.fromEntries(starts));
	});
	const standIn = await listen(app, port);
	return {...standIn, name, tasks, starts, overlaps: () => overlapCount, faults};
};
