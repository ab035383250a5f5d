import {sleep} from '@bergamotgauge/lifecycle';
import {toServiceError, type RackRecord} from '@bergamotgauge/model';
import {RACK_IDLE_INTERVAL_MS, RACK_INTERVAL_MS} from './constants.js';
import {allRacks, bundleOf, isOwner} from './context.js';
import {gangStateOf} from './gang.js';
import {
	cancelGang,
	checkpointGang,
	classOf,
	failGang,
	releaseGang,
	requeueGang,
	startGang,
	succeedGang,
	type Gang,
	type GangActionOptions,
} from './gang-actions.js';
import {findOrphans, stopOrphans} from './orphans.js';
import {placementStatusOf, reconcile, type ReconcileAction} from './reconcile.js';
import {createUsageGuard, type UsageGuard} from './usage-guard.js';
import type {Waker} from './waker.js';

type Action = (options: GangActionOptions, gang: Gang) => Promise<void>;

const ACTIONS: Readonly<Record<ReconcileAction, Action>> = {
	async wait() {},
	start: startGang,
	succeed: succeedGang,
	fail: failGang,
	checkpoint: checkpointGang,
	requeue: requeueGang,
	cancel: cancelGang,
	release: releaseGang,
};

const reload = async ({jobs}: GangActionOptions, gang: Gang): Promise<Gang> => {
	await jobs.reload(gang.placement.job);
	return {...gang, job: jobs.get(gang.placement.job)};
};

/** Returns the gang with a job record at least as new as its placement. Another instance may have written the placement, so the record may have to be read from the store. */
const withCurrentJob = async (options: GangActionOptions, gang: Gang): Promise<Gang> =>
	gang.job && gang.job.attempt >= gang.placement.attempt ? gang : reload(options, gang);

const actionOf = ({links}: GangActionOptions, {job, rack, placement}: Gang): ReconcileAction =>
	reconcile(placementStatusOf(job, rack, placement), gangStateOf(placement, links.tasks));

/** Whether acting on a job that only seems unassigned could run it a second time. */
const needsConfirmation = (options: GangActionOptions, gang: Gang, action: ReconcileAction): boolean =>
	(action === 'start' || action === 'requeue') &&
	gang.job?.assignment === undefined &&
	classOf(options, gang)?.retryRule !== 'idempotent';

const reconcileGang = async (options: GangActionOptions, guard: UsageGuard, observed: Gang): Promise<void> => {
	const {log, metrics} = options.context;
	let action: ReconcileAction = 'wait';
	try {
		let gang = await withCurrentJob(options, observed);
		action = actionOf(options, gang);
		if (needsConfirmation(options, gang, action)) {
			// An earlier owner may have started the gang, and its workers may have lost the tasks since.
			gang = await reload(options, gang);
			action = actionOf(options, gang);
		}

		const state = gangStateOf(gang.placement, options.links.tasks);
		await ACTIONS[action](options, gang);
		if (state === 'running') {
			await guard.check(gang);
		}
	} catch (error) {
		const {code, message} = toServiceError(error, 'may-have-run');
		metrics.count('reconcile_failures_total', {action, code});
		log.warn('reconcile-failed', {job: observed.placement.job, rack: observed.rack, action, code, error: message});
	}
};

/** Stops tasks without a placement. */
const stopRackOrphans = async ({context, links}: GangActionOptions, record: RackRecord): Promise<void> => {
	const rack = bundleOf(context.replica)?.racks.find(({name}) => name === record.rack);
	const orphans = findOrphans(record, rack?.workers ?? [], links.tasks);
	if (orphans.length === 0) {
		return;
	}

	context.metrics.count('orphan_tasks_total', {rack: record.rack}, orphans.length);
	context.log.warn('orphans-found', {rack: record.rack, tasks: orphans.length});
	try {
		await stopOrphans(links, orphans);
	} catch (error) {
		context.log.warn('orphan-stop-failed', {rack: record.rack, error: toServiceError(error, 'may-have-run').message});
	}
};

/** Time until the next pass, which comes no later than the end of any eviction's grace period. */
const waitMs = (gangs: readonly Gang[]): number => {
	const nowMs = Date.now();
	const graceMs = gangs
		.map(({placement}) => placement.evictByMs ?? 0)
		.filter((evictByMs) => evictByMs > nowMs)
		.map((evictByMs) => evictByMs - nowMs);
	return Math.min(gangs.length > 0 ? RACK_INTERVAL_MS : RACK_IDLE_INTERVAL_MS, ...graceMs);
};

/**
Reconciles the workers and the job records of owned racks with the placements until the signal aborts.

@example
```ts
lifecycle.run('racks', async (signal) => runRackLoop(options, waker, signal));
```
*/
export const runRackLoop = async (options: GangActionOptions, waker: Waker, signal: AbortSignal): Promise<void> => {
	const {context, jobs} = options;
	const guard = createUsageGuard(options);
	const runningKeys = new Set<string>();
	const skippedKeys = new Set<string>();

	/** Runs one step at a time for each key, so that a worker that does not respond delays only its own gangs. */
	const runStep = async (key: string, step: () => Promise<void>) => {
		if (runningKeys.has(key)) {
			skippedKeys.add(key);
			return;
		}

		runningKeys.add(key);
		await step();
		runningKeys.delete(key);
		if (skippedKeys.delete(key)) {
			waker.wake();
		}
	};

	while (!signal.aborted) {
		const records = [...allRacks(context.replica).values()].filter(({rack}) => isOwner(context, `racks/${rack}`));
		const gangs = records.flatMap(({rack, placements}) =>
			placements.map((placement): Gang => ({rack, placement, job: jobs.get(placement.job)})),
		);
		for (const gang of gangs) {
			const {job, token} = gang.placement;
			void runStep(`${gang.rack}/${job}/${token}`, async () => reconcileGang(options, guard, gang));
		}

		for (const record of records) {
			void runStep(`${record.rack}/orphans`, async () => stopRackOrphans(options, record));
		}

		await waker.wait(waitMs(gangs), signal);
		await sleep(0, signal);
	}
};
