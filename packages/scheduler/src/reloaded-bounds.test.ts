import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import {createLog, parseLine} from '@bergamotgauge/telemetry';
import t, {type Test} from 'tap';
import {JOBS_PREFIX} from './keys.js';
import {BOUNDS, createTestCluster, newWorker, submitStep, unitOf, WORKER_PREFIX} from './test/cluster.js';

/** Time of the test at which the accelerators that unit 2 waits for become free. */
const FREED_MS = 6000;

/** Smaller than the bounds of the cluster, and large enough for watches to keep the views recent. */
const SMALL_BOUND_MS = 1200;

/** Silence before the accelerators become free; the view is then too old for the small bound only. */
const SILENT_MS = 300;

const BOUND_CASES = [
	{bound: 'cancellationMs', prefix: JOBS_PREFIX},
	{bound: 'drainNoticeMs', prefix: WORKER_PREFIX},
] as const;

/** A worker that unit 1 occupies until `FREED_MS`, while unit 2 waits for it; the clock is at 1 s. */
const startWithWaitingUnit = async (t: Test) => {
	const times = new Map<string, number[]>();
	const log = createLog({
		level: 'info',
		output: {
			write(text: string) {
				const event = parseLine(text)?.event ?? '';
				times.set(event, [...(times.get(event) ?? []), performance.now()]);
			},
		},
	});
	const bounds = {...BOUNDS};
	const cluster = createTestCluster(
		t,
		[newWorker('w1')],
		(unit) => ({runMs: unit === unitOf(1) ? FREED_MS - 500 : 20_000, how: 'done'}),
		{log, bounds},
	);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, newStep({accelerators: 8}));
	await submitStep(scheduler.jobs, 2, newStep({accelerators: 8}));
	await cluster.clock.tickAsync(500);
	t.equal(cluster.startsOf(unitOf(1)), 1);
	return {cluster, bounds, pauses: () => times.get('starts-paused')?.length ?? 0};
};

// Guards against a leader that keeps to the bound of its begin after a reload of the settings. Without the reload the start
// is allowed, so that the test fails if the start is held back for another reason.
for (const {bound, prefix} of BOUND_CASES) {
	for (const isReloaded of [true, false]) {
		const name = `${isReloaded ? 'no start' : 'a start'} on a silent watch of ${prefix} ${isReloaded ? 'after' : 'without'} a reload of ${bound}`;
		await t.test(name, async (t) => {
			const {cluster, bounds, pauses} = await startWithWaitingUnit(t);
			await cluster.clock.tickAsync(FREED_MS - 1000 - SILENT_MS);
			cluster.store.faults.silentWatches.add(prefix);
			cluster.store.silenceWatches(prefix);
			await cluster.clock.tickAsync(100);
			if (isReloaded) {
				bounds[bound] = SMALL_BOUND_MS;
			}

			await cluster.clock.tickAsync(SILENT_MS);
			t.equal(pauses(), isReloaded ? 1 : 0);
			t.equal(cluster.startsOf(unitOf(2)), isReloaded ? 0 : 1);
			cluster.store.faults.silentWatches.clear();
			await cluster.clock.tickAsync(2000);
			t.equal(cluster.startsOf(unitOf(2)), 1, 'the unit has started after the silence');
		});
	}
}

// Guards against watches that keep the waits of the bound of their begin, so that starts pause again and again without a fault.
for (const {bound} of BOUND_CASES) {
	await t.test(`starts pause at most once after a reload of ${bound} without faults`, async (t) => {
		const {cluster, bounds, pauses} = await startWithWaitingUnit(t);
		t.equal(pauses(), 0);
		bounds[bound] = SMALL_BOUND_MS;
		await cluster.clock.tickAsync(FREED_MS);
		t.ok(pauses() <= 1, `${pauses()} pauses`);
		t.equal(cluster.startsOf(unitOf(2)), 1);
	});
}
