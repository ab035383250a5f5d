import {sleep} from '@bergamotgauge/lifecycle';
import {ServiceError, type Block, type TaskReport, type WorkerReport} from '@bergamotgauge/model';
import {DEFAULT_RUN_MS} from './constants.js';
import type {TaskBehaviour, WorkerTask} from './types.js';

export type WorkerFaults = {
	/** Every task fails when it ends. */
	failAll: boolean;
	/** Calls get no response and their connections stay open. */
	silent: boolean;
	/** Calls on tasks and renewals are refused with this status and have no effect; 0 for none. */
	refuseStatus: number;
	/** Calls on tasks and renewals are carried out, but their connections close without a response. */
	loseResponses: boolean;
	/** Calls on tasks and renewals get no response and are carried out after this time; 0 for none. */
	lateMs: number;
};

export type PrepareBody = Readonly<{
	job: string;
	attempt: number;
	token: number;
	block: Block;
	cores: number;
	memoryGigabytes: number;
	isLead: boolean;
	resumeFrom?: number;
	payload: unknown;
}>;

export type TaskReference = Readonly<{job: string; attempt: number; token: number}>;

/** The tasks of a simulated worker, in memory. Methods throw a `ServiceError` when the worker rejects the call. */
export type WorkerModel = Readonly<{
	name: string;
	faults: WorkerFaults;
	tasks: ReadonlyMap<string, WorkerTask>;
	/** Number of task starts on this worker by job. */
	starts: ReadonlyMap<string, number>;
	/** Like all task calls, returns the report sequence that reflects the call. */
	prepare: (body: PrepareBody) => number;
	start: (task: TaskReference) => number;
	checkpoint: (task: TaskReference) => number;
	throttle: (task: TaskReference, cores: number) => number;
	stop: (task: TaskReference) => number;
	renewLease: (leaseMs: number) => void;
	report: (afterSequence: number, waitMs: number, signal: AbortSignal) => Promise<WorkerReport>;
	/** Discards all tasks, as a restart of the worker does. */
	restart: () => void;
}>;

const holdsAccelerators = ({state}: WorkerTask): boolean => state === 'prepared' || state === 'running';

const overlaps = (a: Block, b: Block): boolean => a.first < b.first + b.count && b.first < a.first + a.count;

const staleTokenError = (reason: string): ServiceError =>
	new ServiceError(reason, {code: 'stale-token', verdict: 'not-run'});

const reportOf = (task: WorkerTask): TaskReport => ({
	job: task.job,
	attempt: task.attempt,
	token: task.token,
	state: task.state,
	coresUsed: Math.min(task.behaviour.coresUsed ?? task.cores, task.throttledTo ?? Number.POSITIVE_INFINITY),
	memoryGigabytesUsed: task.behaviour.memoryGigabytesUsed ?? task.memoryGigabytes,
	...(task.answer !== undefined && {answer: task.answer}),
	...(task.reason !== undefined && {reason: task.reason}),
});

/**
Creates the model of one worker.

@example
```ts
const worker = createWorkerModel('w1');
worker.prepare(body);
worker.start(body);
```
*/
export const createWorkerModel = (name: string): WorkerModel => {
	const tasks = new Map<string, WorkerTask>();
	const starts = new Map<string, number>();
	const faults: WorkerFaults = {failAll: false, silent: false, refuseStatus: 0, loseResponses: false, lateMs: 0};
	const waiters = new Set<() => void>();
	// Starting at the current time keeps the sequence increasing across restarts.
	let sequence = Date.now();
	let leaseTimer: NodeJS.Timeout | undefined;

	const recordChange = (): number => {
		sequence += 1;
		for (const wake of waiters) {
			wake();
		}

		return sequence;
	};

	const stopTask = (task: WorkerTask) => {
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
			task.answer = task.behaviour.answer ?? 'done';
		}

		recordChange();
	};

	const taskId = ({job, attempt}: TaskReference): string => `${job}.${attempt}`;

	const findTask = (reference: TaskReference): WorkerTask => {
		const task = tasks.get(taskId(reference));
		if (!task) {
			throw new ServiceError('no such task', {code: 'not-found', verdict: 'not-run'});
		}

		if (task.token !== reference.token) {
			throw staleTokenError(`the fencing token is ${task.token}`);
		}

		return task;
	};

	return {
		name,
		faults,
		tasks,
		starts,
		prepare({payload, ...body}) {
			const existing = tasks.get(taskId(body));
			if (existing && existing.token > body.token) {
				throw staleTokenError(`the fencing token is ${existing.token}`);
			}

			if (existing?.token === body.token) {
				return sequence;
			}

			const holder = [...tasks.values()].find(
				(task) => task !== existing && holdsAccelerators(task) && overlaps(task.block, body.block),
			);
			if (holder) {
				throw staleTokenError(`accelerators are held by job ${holder.job}`);
			}

			if (existing) {
				stopTask(existing);
			}

			tasks.set(taskId(body), {...body, state: 'prepared', behaviour: payload ?? {}});
			return recordChange();
		},
		start(reference) {
			const task = findTask(reference);
			if (task.state !== 'prepared') {
				return sequence;
			}

			task.state = 'running';
			starts.set(task.job, (starts.get(task.job) ?? 0) + 1);
			task.timer = setTimeout(() => {
				finish(task);
			}, task.behaviour.runMs ?? DEFAULT_RUN_MS);
			return recordChange();
		},
		checkpoint(reference) {
			const task = findTask(reference);
			if (task.state !== 'running' || task.isCheckpointing) {
				return sequence;
			}

			task.isCheckpointing = true;
			clearTimeout(task.timer);
			task.timer = setTimeout(() => {
				task.state = 'checkpointed';
				recordChange();
			}, task.behaviour.checkpointMs ?? 0);
			return recordChange();
		},
		throttle(reference, cores) {
			findTask(reference).throttledTo = cores;
			return recordChange();
		},
		stop(reference) {
			const task = tasks.get(taskId(reference));
			if (!task) {
				return sequence;
			}

			if (task.token > reference.token) {
				throw staleTokenError(`the fencing token is ${task.token}`);
			}

			stopTask(task);
			tasks.delete(taskId(reference));
			return recordChange();
		},
		renewLease(leaseMs) {
			clearTimeout(leaseTimer);
			leaseTimer = setTimeout(() => {
				for (const task of tasks.values()) {
					stopTask(task);
				}

				recordChange();
			}, leaseMs);
			leaseTimer.unref();
		},
		async report(afterSequence, waitMs, signal) {
			const controller = new AbortController();
			const wake = () => {
				controller.abort();
			};

			waiters.add(wake);
			signal.addEventListener('abort', wake);
			if (sequence <= afterSequence) {
				await sleep(waitMs, controller.signal);
			}

			signal.removeEventListener('abort', wake);
			waiters.delete(wake);
			return {worker: name, sequence, tasks: [...tasks.values()].map((task) => reportOf(task))};
		},
		restart() {
			for (const task of tasks.values()) {
				stopTask(task);
			}

			tasks.clear();
			recordChange();
		},
	};
};
