import {sleep} from '@bergamotgauge/lifecycle';
import {toServiceError, type Bundle} from '@bergamotgauge/model';
import {
	checkInvariant,
	planReservedBlocks,
	planPass,
	planQuarantines,
	type Decision,
	type PlacementView,
} from '@bergamotgauge/placement';
import {PLANNER_DELAY_MS, PLANNER_IDLE_INTERVAL_MS, PLANNER_INTERVAL_MS} from './constants.js';
import {bundleOf, emptyRack, isOwner, type Context} from './context.js';
import type {JobStore} from './job-store.js';
import {placementView} from './placement-view.js';
import {withEviction, withPlacement} from './rack-record.js';
import type {RackWriter} from './rack-writer.js';
import type {Waker} from './waker.js';

export type PlannerOptions = Readonly<{
	context: Context;
	jobs: JobStore;
	racks: RackWriter;
	workersDown: () => readonly string[];
	waker: Waker;
	/** Called with the reason why each waiting job is not placed. */
	onWaitReasons: (reasons: ReadonlyMap<string, string>) => void;
}>;

const applyDecision = async ({context, jobs, racks}: PlannerOptions, decision: Decision): Promise<void> => {
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

/** Writes reserved blocks first, because placements of the same pass depend on them. */
const applyAll = async (options: PlannerOptions, decisions: readonly Decision[]): Promise<void> => {
	const applyKind = async (isIncluded: (decision: Decision) => boolean) =>
		Promise.all(
			decisions.filter((decision) => isIncluded(decision)).map(async (decision) => applyDecision(options, decision)),
		);
	await applyKind(({kind}) => kind === 'homes');
	await applyKind(({kind}) => kind !== 'homes');
};

/** Writes changed quarantines and returns the view with them. */
const updateQuarantines = async ({racks, context}: PlannerOptions, view: PlacementView): Promise<PlacementView> => {
	const changes = planQuarantines(view);
	const next = new Map(view.racks);
	for (const {rack, quarantines, reason} of changes) {
		await racks.write(rack, (record) => ({...record, quarantines}));
		next.set(rack, {...(next.get(rack) ?? emptyRack(rack)), quarantines});
		context.log.warn('quarantines-changed', {rack, reason});
	}

	return {...view, racks: next};
};

const recordMetrics = ({metrics}: Context, view: PlacementView): void => {
	const violations = checkInvariant(view);
	metrics.gauge('placement_violations', violations.length);
	metrics.gauge('guarantee_shortfalls', planReservedBlocks(view).shortfalls.length);
	metrics.gauge('queued_jobs', view.jobs.length);
};

/** Runs one pass and returns the number of decisions; any of them may have to be repeated. */
const runPass = async (options: PlannerOptions, bundle: Bundle): Promise<number> => {
	const {context, workersDown, onWaitReasons} = options;
	const view = await updateQuarantines(options, placementView(context, bundle, workersDown()));
	const startedMs = performance.now();
	const decisions = planPass(view);
	context.metrics.observe('planner_pass_milliseconds', performance.now() - startedMs);
	recordMetrics(context, view);
	const waiting = decisions.filter((decision) => decision.kind === 'wait');
	onWaitReasons(new Map(waiting.map((decision) => [decision.job, decision.reason])));
	await applyAll(options, decisions);
	return decisions.length;
};

/**
Places queued jobs while this instance owns the planner.

@example
```ts
lifecycle.run('planner', async (signal) => runPlanner(options, signal));
```
*/
export const runPlanner = async (options: PlannerOptions, signal: AbortSignal): Promise<void> => {
	const {context, waker} = options;
	while (!signal.aborted) {
		const bundle = bundleOf(context.replica);
		let intervalMs = PLANNER_INTERVAL_MS;
		if (bundle && context.state() === 'live' && isOwner(context, 'planner')) {
			try {
				intervalMs = (await runPass(options, bundle)) > 0 ? PLANNER_INTERVAL_MS : PLANNER_IDLE_INTERVAL_MS;
			} catch (error) {
				const {code, message} = toServiceError(error, 'may-have-run');
				context.log.warn('planner-pass-failed', {code, error: message});
			}
		}

		await waker.wait(intervalMs, signal);
		await sleep(PLANNER_DELAY_MS, signal);
	}
};
