import type {JobRecord, Placement, TaskReport, Worker} from '@bergamotgauge/model';
import {USAGE_STRIKE_INTERVAL_MS, USAGE_STRIKES, USAGE_TOLERANCE} from './constants.js';
import {bundleOf} from './context.js';
import {reportsOf} from './gang.js';
import type {Gang, GangActionOptions} from './gang-actions.js';

/** What follows from a task's reported usage. */
export type UsageVerdict =
	Readonly<{kind: 'within'}> | Readonly<{kind: 'throttle'; cores: number}> | Readonly<{kind: 'stop'; reason: string}>;

export type DeclaredSize = Readonly<{cores: number; memoryGigabytes: number}>;

/**
Judges the usage of one task. Reports lag, so a task is stopped only when several checks in a row find it over its size.

@example
```ts
judgeUsage(report, {cores: 8, memoryGigabytes: 16}, 1); // {kind: 'throttle', cores: 8}
```

@param strikes Number of checks in a row that found the task over its size, this one included.
*/
export const judgeUsage = (report: TaskReport, declared: DeclaredSize, strikes: number): UsageVerdict => {
	const isOverMemory = report.memoryGigabytesUsed > declared.memoryGigabytes * USAGE_TOLERANCE;
	const isOverCores = report.coresUsed > declared.cores * USAGE_TOLERANCE;
	if (!isOverMemory && !isOverCores) {
		return {kind: 'within'};
	}

	if (strikes < USAGE_STRIKES) {
		return {kind: 'throttle', cores: declared.cores};
	}

	const reason = isOverMemory
		? `a task used ${report.memoryGigabytesUsed} GB of memory, ${declared.memoryGigabytes} GB are declared`
		: `a task used ${report.coresUsed} cores after it was throttled, ${declared.cores} are declared`;
	return {kind: 'stop', reason};
};

export type UsageGuard = Readonly<{
	/** Checks the gang's tasks against their declared size. */
	check: (gang: Gang) => Promise<void>;
}>;

type Strikes = Readonly<{atMs: number; count: number}>;

const findWorker = ({context}: GangActionOptions, rack: string, name: string): Worker | undefined =>
	bundleOf(context.replica)
		?.racks.find((candidate) => candidate.name === rack)
		?.workers.find((worker) => worker.name === name);

const declaredSize = (job: JobRecord, accelerators: number): DeclaredSize => ({
	cores: accelerators * job.coresPerAccelerator,
	memoryGigabytes: accelerators * job.memoryGigabytesPerAccelerator,
});

const strikeKey = ({job, attempt}: Placement, worker: string): string => `${job}.${attempt}.${worker}`;

/**
Creates the guard for tasks on workers without guards of their own.

@example
```ts
await guard.check(gang);
```
*/
export const createUsageGuard = (options: GangActionOptions): UsageGuard => {
	const strikes = new Map<string, Strikes>();
	const {context, jobs, links} = options;

	const countStrikes = (key: string, isOver: boolean): number | undefined => {
		const nowMs = Date.now();
		const known = strikes.get(key);
		if (known && nowMs - known.atMs < USAGE_STRIKE_INTERVAL_MS) {
			return undefined;
		}

		const count = isOver ? (known?.count ?? 0) + 1 : 0;
		if (count === 0) {
			strikes.delete(key);
		} else {
			strikes.set(key, {atMs: nowMs, count});
		}

		return count;
	};

	const checkTask = async (gang: Gang, job: JobRecord, index: number): Promise<void> => {
		const {placement} = gang;
		const block = placement.blocks[index]!;
		const report = reportsOf(placement, links.tasks)[index];
		if (report?.state !== 'running' || findWorker(options, gang.rack, block.worker)?.guards !== false) {
			return;
		}

		const declared = declaredSize(job, block.count);
		const isOver = judgeUsage(report, declared, 1).kind !== 'within';
		const count = countStrikes(strikeKey(placement, block.worker), isOver);
		const verdict = count === undefined ? {kind: 'within' as const} : judgeUsage(report, declared, count);
		if (verdict.kind === 'throttle') {
			context.log.warn('task-throttled', {job: job.id, worker: block.worker, cores: verdict.cores});
			await links.client(block.worker)?.throttle(placement, verdict.cores);
		} else if (verdict.kind === 'stop') {
			strikes.delete(strikeKey(placement, block.worker));
			await jobs.end(job.id, {kind: 'failed', verdict: 'ran', reason: verdict.reason});
		}
	};

	return {
		async check(gang) {
			const {job} = gang;
			if (job?.state === 'queued') {
				await Promise.all(gang.placement.blocks.map(async (_, index) => checkTask(gang, job, index)));
			}
		},
	};
};
