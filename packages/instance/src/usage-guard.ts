import type {JobRecord, Placement, TaskReport, Worker} from '@bergamotgauge/model';
import {USAGE_TOLERANCE, USAGE_VIOLATION_INTERVAL_MS, USAGE_VIOLATION_LIMIT} from './constants.js';
import {bundleOf} from './context.js';
import {reportsOf} from './gang.js';
import type {Gang, GangActionOptions} from './gang-actions.js';

/** Action required by a task's reported usage. */
export type UsageAction =
	Readonly<{kind: 'within'}> | Readonly<{kind: 'throttle'; cores: number}> | Readonly<{kind: 'stop'; reason: string}>;

export type DeclaredSize = Readonly<{cores: number; memoryGigabytes: number}>;

const usesTooMuchMemory = (report: TaskReport, declared: DeclaredSize): boolean =>
	report.memoryGigabytesUsed > declared.memoryGigabytes * USAGE_TOLERANCE;

/**
Evaluates the usage of one task. Reports lag, so a task is stopped only after several consecutive checks over its declared size.

@example
```ts
evaluateUsage(report, {cores: 8, memoryGigabytes: 16}, 1); // {kind: 'throttle', cores: 8}
```

@param violations Number of consecutive checks that found the task over its declared size, this one included.
*/
export const evaluateUsage = (report: TaskReport, declared: DeclaredSize, violations: number): UsageAction => {
	const isOverMemory = usesTooMuchMemory(report, declared);
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

type UsageViolations = Readonly<{
	atMs: number;
	count: number;
	/** Whether the worker has accepted a throttle of the task. */
	isThrottled: boolean;
}>;

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

	const checkTask = async (gang: Gang, job: JobRecord, index: number): Promise<void> => {
		const {placement} = gang;
		const block = placement.blocks[index]!;
		const report = reportsOf(placement, links.tasks)[index];
		const client = links.client(block.worker);
		if (!client || report?.state !== 'running' || findWorker(options, gang.rack, block.worker)?.guards !== false) {
			return;
		}

		const declared = declaredSize(job, block.count);
		const key = violationKey(placement, block.worker);
		const previous = violations.get(key);
		if (previous && Date.now() - previous.atMs < USAGE_VIOLATION_INTERVAL_MS) {
			return;
		}

		const isThrottled = previous?.isThrottled ?? false;
		// Using too many cores counts once a throttle was accepted. No throttle lowers the use of memory.
		const isCounted = isThrottled || usesTooMuchMemory(report, declared);
		const count = isCounted ? (previous?.count ?? 0) + 1 : 1;
		const action = evaluateUsage(report, declared, count);
		switch (action.kind) {
			case 'within': {
				violations.delete(key);
				break;
			}

			case 'throttle': {
				if (isCounted) {
					violations.set(key, {atMs: Date.now(), count, isThrottled});
				}

				await client.throttle(placement, action.cores);
				violations.set(key, {atMs: Date.now(), count, isThrottled: true});
				context.log.warn('task-throttled', {job: job.id, worker: block.worker, cores: action.cores});
				break;
			}

			case 'stop': {
				violations.delete(key);
				await jobs.end(job.id, {kind: 'failed', verdict: 'ran', reason: action.reason});
			}
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
