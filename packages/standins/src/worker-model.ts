import {sleep} from '@bergamotgauge/lifecycle';
import {ServiceError, type Block, type TaskReport, type WorkerReport} from '@bergamotgauge/model';
import {DEFAULT_RUN_MS} from './constants.js';
import type {TaskBehaviour, WorkerTask} from './types.js';

export type WorkerFaults = {
	/** Every task that starts fails. */
	failAll: boolean;
	/** No call is answered. */
	silent: boolean;
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

export type TaskName = Readonly<{job: string; attempt: number; token: number}>;

/** A worker's tasks in memory. Calls throw a ServiceError when the worker refuses them. */
export type WorkerModel = Readonly<{
	name: string;
	faults: WorkerFaults;
	tasks: ReadonlyMap<string, WorkerTask>;
	/** Number of times that each job's task was started here. */
	starts: ReadonlyMap<string, number>;
	prepare: (body: PrepareBody) => number;
	start: (task: TaskName) => number;
	checkpoint: (task: TaskName) => number;
	throttle: (task: TaskName, cores: number) => number;
	stop: (task: TaskName) => number;
	renewLease: (leaseMs: number) => void;
	report: (afterSequence: number, waitMs: number, signal: AbortSignal) => Promise<WorkerReport>;
	/** Forgets all tasks, as after a restart of the worker. */
	restart: () => void;
}>;

const holdsAccelerators = ({state}: WorkerTask): boolean => state === 'prepared' || state === 'running';

const overlaps = (a: Block, b: Block): boolean => a.first < b.first + b.count && b.first < a.first + a.count;

const refusal = (reason: string): ServiceError => new ServiceError(reason, {code: 'stale-token', verdict: 'not-run'});

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
Creates the tasks of one worker.

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
	const faults: WorkerFaults = {failAll: false, silent: false};
	const waiting = new Set<() => void>();
	// Starting from the clock keeps the sequence rising over restarts.
	let sequence = Date.now();
	let leaseTimer: NodeJS.Timeout | undefined;

	const changed = (): number => {
		sequence += 1;
		for (const wake of waiting) {
			wake();
		}

		return sequence;
	};

	const halt = (task: WorkerTask) => {
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

		changed();
	};

	const idOf = ({job, attempt}: TaskName): string => `${job}.${attempt}`;

	const find = (reference: TaskName): WorkerTask => {
		const task = tasks.get(idOf(reference));
		if (!task) {
			throw new ServiceError('no such task', {code: 'not-found', verdict: 'not-run'});
		}

		if (task.token !== reference.token) {
			throw refusal(`the fencing token is ${task.token}`);
		}

		return task;
	};

	return {
		name,
		faults,
		tasks,
		starts,
		prepare({payload, ...body}) {
			const known = tasks.get(idOf(body));
			if (known && known.token > body.token) {
				throw refusal(`the fencing token is ${known.token}`);
			}

			if (known?.token === body.token) {
				return sequence;
			}

			const holder = [...tasks.values()].find(
				(task) => task !== known && holdsAccelerators(task) && overlaps(task.block, body.block),
			);
			if (holder) {
				throw refusal(`accelerators are held by job ${holder.job}`);
			}

			if (known) {
				halt(known);
			}

			tasks.set(idOf(body), {...body, state: 'prepared', behaviour: payload ?? {}});
			return changed();
		},
		start(reference) {
			const task = find(reference);
			if (task.state !== 'prepared') {
				return sequence;
			}

			task.state = 'running';
			starts.set(task.job, (starts.get(task.job) ?? 0) + 1);
			task.timer = setTimeout(() => {
				finish(task);
			}, task.behaviour.runMs ?? DEFAULT_RUN_MS);
			return changed();
		},
		checkpoint(reference) {
			const task = find(reference);
			if (task.state !== 'running' || task.isCheckpointing) {
				return sequence;
			}

			task.isCheckpointing = true;
			clearTimeout(task.timer);
			task.timer = setTimeout(() => {
				task.state = 'checkpointed';
				changed();
			}, task.behaviour.checkpointMs ?? 0);
			return changed();
		},
		throttle(reference, cores) {
			find(reference).throttledTo = cores;
			return changed();
		},
		stop(reference) {
			const task = tasks.get(idOf(reference));
			if (!task) {
				return sequence;
			}

			if (task.token > reference.token) {
				throw refusal(`the fencing token is ${task.token}`);
			}

			halt(task);
			tasks.delete(idOf(reference));
			return changed();
		},
		renewLease(leaseMs) {
			clearTimeout(leaseTimer);
			leaseTimer = setTimeout(() => {
				for (const task of tasks.values()) {
					halt(task);
				}

				changed();
			}, leaseMs);
			leaseTimer.unref();
		},
		async report(afterSequence, waitMs, signal) {
			const controller = new AbortController();
			const wake = () => {
				controller.abort();
			};

			waiting.add(wake);
			signal.addEventListener('abort', wake);
			if (sequence <= afterSequence) {
				await sleep(waitMs, controller.signal);
			}

			signal.removeEventListener('abort', wake);
			waiting.delete(wake);
			return {worker: name, sequence, tasks: [...tasks.values()].map((task) => reportOf(task))};
		},
		restart() {
			for (const task of tasks.values()) {
				halt(task);
			}

			tasks.clear();
			changed();
		},
	};
};
