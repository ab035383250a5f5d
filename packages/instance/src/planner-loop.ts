import {sleep} from '@bergamotgauge/lifecycle';
import {toServiceError, type Bundle} from '@bergamotgauge/model';
import {planPass, type Decision, type PlacementView} from '@bergamotgauge/placement';
import {PLANNER_DELAY_MS, PLANNER_INTERVAL_MS} from './constants.js';
import {allJobs, allRacks, bundleOf, isOwner, type Context} from './context.js';
import type {JobStore} from './job-store.js';
import {withEviction, withPlacement} from './rack-record.js';
import type {RackWriter} from './rack-writer.js';
import type {Waker} from './waker.js';

/** The scheduler's input as this instance sees it now. */
export const placementView = (context: Context, bundle: Bundle, workersDown: readonly string[]): PlacementView => ({
	bundle,
	racks: allRacks(context.replica),
	jobs: allJobs(context.replica)
		.filter((job) => job.state === 'queued')
		.toSorted((a, b) => a.submittedAtMs - b.submittedAtMs || a.id.localeCompare(b.id)),
	workersDown: new Set(workersDown),
	nowMs: Date.now(),
});

export type PlannerOptions = Readonly<{
	context: Context;
	jobs: JobStore;
	racks: RackWriter;
	workersDown: () => readonly string[];
	waker: Waker;
	/** Takes the reason for which each job waits. */
	onReasons: (reasons: ReadonlyMap<string, string>) => void;
}>;

const apply = async ({context, jobs, racks}: PlannerOptions, decision: Decision): Promise<void> => {
	switch (decision.kind) {
		case 'place': {
			const isWritten = await racks.write(decision.rack, (record) => withPlacement(record, decision.placement));
			if (isWritten) {
				const {job, attempt} = decision.placement;
				context.log.info('job-placed', {job, attempt, rack: decision.rack, reason: decision.reason});
			}

			break;
		}

		case 'evict': {
			const evictByMs = Date.now() + decision.graceMs;
			await racks.write(decision.rack, (record) => withEviction(record, decision.job, evictByMs));
			context.log.info('job-evicted', {job: decision.job, rack: decision.rack, reason: decision.reason});
			break;
		}

		case 'homes': {
			await racks.write(decision.rack, (record) => ({...record, homes: decision.homes}));
			context.log.info('homes-changed', {rack: decision.rack, reason: decision.reason});
			break;
		}

		case 'end': {
			await jobs.end(decision.job, decision.outcome);
			break;
		}

		case 'wait': {
			break;
		}
	}
};

/** Homes come first, because placements of the same pass depend on them. */
const applyAll = async (options: PlannerOptions, decisions: readonly Decision[]): Promise<void> => {
	const applyKind = async (isIncluded: (decision: Decision) => boolean) =>
		Promise.all(decisions.filter((decision) => isIncluded(decision)).map(async (decision) => apply(options, decision)));
	await applyKind(({kind}) => kind === 'homes');
	await applyKind(({kind}) => kind !== 'homes');
};

const endCancelled = async (jobs: JobStore, view: PlacementView): Promise<void> => {
	const placed = new Set([...view.racks.values()].flatMap(({placements}) => placements.map(({job}) => job)));
	const cancelled = view.jobs.filter((job) => job.cancelRequested && !placed.has(job.id));
	await Promise.all(
		cancelled.map(async (job) =>
			jobs.end(job.id, {
				kind: 'cancelled',
				verdict: job.attempt === 1 ? 'not-run' : 'may-have-run',
				reason: 'the caller cancelled the job before it was placed',
			}),
		),
	);
};

/**
Places queued jobs while this instance owns the planner.

@example
```ts
lifecycle.run('planner', async (signal) => runPlanner(options, signal));
```
*/
export const runPlanner = async (options: PlannerOptions, signal: AbortSignal): Promise<void> => {
	const {context, jobs, workersDown, waker, onReasons} = options;
	while (!signal.aborted) {
		const bundle = bundleOf(context.replica);
		if (bundle && context.state() === 'live' && isOwner(context, 'planner')) {
			const view = placementView(context, bundle, workersDown());
			const startedMs = performance.now();
			const decisions = planPass({...view, jobs: view.jobs.filter((job) => !job.cancelRequested)});
			context.metrics.observe('planner_pass_milliseconds', performance.now() - startedMs);
			onReasons(
				new Map(
					decisions.filter((decision) => decision.kind === 'wait').map((decision) => [decision.job, decision.reason]),
				),
			);
			try {
				await endCancelled(jobs, view);
				await applyAll(options, decisions);
			} catch (error) {
				const {code, message} = toServiceError(error, 'may-have-run');
				context.log.warn('planner-write-failed', {code, error: message});
			}
		}

		await waker.wait(PLANNER_INTERVAL_MS, signal);
		await sleep(PLANNER_DELAY_MS, signal);
	}
};
