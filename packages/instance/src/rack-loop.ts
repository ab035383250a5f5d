import {sleep} from '@bergamotgauge/lifecycle';
import {toServiceError, type RackRecord} from '@bergamotgauge/model';
import {RACK_INTERVAL_MS} from './constants.js';
import {allRacks, bundleOf, isOwner} from './context.js';
import {gangStateOf} from './gang.js';
import {
	cancelGang,
	checkpointGang,
	failGang,
	releaseGang,
	requeueGang,
	startGang,
	succeedGang,
	type Gang,
	type GangActionOptions,
} from './gang-actions.js';
import {findOrphans, stopOrphans} from './orphans.js';
import {reconcile, standingOf, type ReconcileAction} from './reconcile.js';
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

const reconcileGang = async (options: GangActionOptions, guard: UsageGuard, gang: Gang): Promise<void> => {
	const {log, metrics} = options.context;
	const state = gangStateOf(gang.placement, options.links.tasks);
	const action = reconcile(standingOf(gang.job, gang.rack, gang.placement), state);
	try {
		await ACTIONS[action](options, gang);
		if (state === 'running') {
			await guard.check(gang);
		}
	} catch (error) {
		const {code, message} = toServiceError(error, 'may-have-run');
		metrics.count('reconcile_failures_total', {action, code});
		log.warn('reconcile-failed', {job: gang.placement.job, rack: gang.rack, action, code, error: message});
	}
};

const sweepRack = async ({context, links}: GangActionOptions, record: RackRecord): Promise<void> => {
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

/** Time until the next pass: at the latest when the grace period of an eviction ends. */
const waitMs = (gangs: readonly Gang[]): number => {
	const nowMs = Date.now();
	const graceMs = gangs
		.map(({placement}) => placement.evictByMs ?? 0)
		.filter((evictByMs) => evictByMs > nowMs)
		.map((evictByMs) => evictByMs - nowMs);
	return Math.min(RACK_INTERVAL_MS, ...graceMs);
};

/**
Brings the workers and the job records of owned racks in line with the placements until the signal aborts.

@example
```ts
lifecycle.run('racks', async (signal) => runRackLoop(options, waker, signal));
```
*/
export const runRackLoop = async (options: GangActionOptions, waker: Waker, signal: AbortSignal): Promise<void> => {
	const {context, jobs} = options;
	const guard = createUsageGuard(options);
	while (!signal.aborted) {
		const records = [...allRacks(context.replica).values()].filter(({rack}) => isOwner(context, `racks/${rack}`));
		const gangs = records.flatMap(({rack, placements}) =>
			placements.map((placement): Gang => ({rack, placement, job: jobs.get(placement.job)})),
		);
		await Promise.all([
			...gangs.map(async (gang) => reconcileGang(options, guard, gang)),
			...records.map(async (record) => sweepRack(options, record)),
		]);
		await waker.wait(waitMs(gangs), signal);
		await sleep(0, signal);
	}
};
