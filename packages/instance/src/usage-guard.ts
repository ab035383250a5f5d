import type {JobRecord, Placement, TaskReport, Worker} from '@bergamotgauge/model';
import {USAGE_TOLERANCE, USAGE_VIOLATION_INTERVAL_MS, USAGE_VIOLATION_LIMIT} from './constants.js';
import {bundleOf} from './context.js';
import {reportsOf} from './gang.js';
import type {Gang, GangActionOptions} from './gang-actions.js';

/** Action required by a task's reported usage. */
export type UsageAction =
	Readonly<{kind: 'within'}> | Readonly<{kind: 'throttle'; cores: number}> | Readonly<{kind: 'stop'; reason: string}>;

export type DeclaredSize = Readonly<{cores: number; memoryGigabytes: number}>;

/**
Evaluates the usage of one task. Reports lag, so a task is stopped only after several consecutive checks over its declared size.

@example
```ts
evaluateUsage(report, {cores: 8, memoryGigabytes: 16}, 1); // {kind: 'throttle', cores: 8}
```

@param violations Number of consecutive checks that found the task over its declared size, this one included.
*/
export const evaluateUsage = (report: TaskReport, declared: DeclaredSize, violations: number): UsageAction => {
	const isOverMemory = report.memoryGigabytesUsed > declared.memoryGigabytes * USAGE_TOLERANCE;
	const isOverCores = report.coresUsed > declared.cores * USAGE_TOLERANCE;
	if (!isOverMemory && !isOverCores) {
		return {kind: 'within'};
	}

	if (violations < USAGE_VIOLATION_LIMIT) {
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

type UsageViolations = Readonly<{atMs: number; count: number}>;

const findWorker = ({context}: GangActionOptions, rack: string, name: string): Worker | undefined =>
	bundleOf(context.replica)
		?.racks.find((candidate) => candidate.name === rack)
		?.workers.find((worker) => worker.name === name);

const declaredSize = (job: JobRecord, accelerators: number): DeclaredSize => ({
	cores: accelerators * job.coresPerAccelerator,
	memoryGigabytes: accelerators * job.memoryGigabytesPerAccelerator,
});

const violationKey = ({job, attempt}: Placement, worker: string): string => `${job}.${attempt}.${worker}`;

/**
Creates the guard that enforces declared sizes on workers that do not enforce them themselves.

@example
```ts
await guard.check(gang);
```
*/
export const createUsageGuard = (options: GangActionOptions): UsageGuard => {
	const violations = new Map<string, UsageViolations>();
	const {context, jobs, links} = options;

	const countViolations = (key: string, isOver: boolean): number | undefined => {
		const nowMs = Date.now();
		const previous = violations.get(key);
		if (previous && nowMs - previous.atMs < USAGE_VIOLATION_INTERVAL_MS) {
			return undefined;
		}

		const count = isOver ? (previous?.count ?? 0) + 1 : 0;
		if (count === 0) {
			violations.delete(key);
		} else {
			violations.set(key, {atMs: nowMs, count});
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
		const isOver = evaluateUsage(report, declared, 1).kind !== 'within';
		const count = countViolations(violationKey(placement, block.worker), isOver);
		const action = count === undefined ? {kind: 'within' as const} : evaluateUsage(report, declared, count);
		if (action.kind === 'throttle') {
			context.log.warn('task-throttled', {job: job.id, worker: block.worker, cores: action.cores});
			await links.client(block.worker)?.throttle(placement, action.cores);
		} else if (action.kind === 'stop') {
			violations.delete(violationKey(placement, block.worker));
			await jobs.end(job.id, {kind: 'failed', verdict: 'ran', reason: action.reason});
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
