import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import {createLog, parseLine} from '@bergamotgauge/telemetry';
import t, {type Test} from 'tap';
import {JOBS_PREFIX} from './keys.js';
import {addressOf, createTestCluster, newWorker, submitStep, unitOf} from './test/cluster.js';

/** A worker that unit 1 occupies until 5.5 s, while units 2 and 3 wait for it; the clock is at 1 s. */
const startWithWaitingUnits = async (t: Test) => {
	const events: string[] = [];
	const log = createLog({
		level: 'info',
		output: {
			write(text: string) {
				events.push(parseLine(text)?.event ?? '');
			},
		},
	});
	const cluster = createTestCluster(
		t,
		[newWorker('w1')],
		(unit) => ({runMs: unit === unitOf(1) ? 5000 : 20_000, how: 'done'}),
		{log},
	);
	cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	const {scheduler: other} = cluster.startInstance('two');
	for (const id of [1, 2, 3]) {
		await submitStep(other.jobs, id, newStep({accelerators: 8}));
	}

	await cluster.clock.tickAsync(500);
	t.equal(cluster.startsOf(unitOf(1)), 1);
	return {cluster, other, pauses: () => events.filter((event) => event === 'starts-paused').length};
};

// Guards against a leader whose watch responds again with a listing, because the history was compacted during the silence,
// and that misses the cancellation in it or holds starts back for good.
await t.test('after a silence and a compaction the cancelled unit does not start and the other one does', async (t) => {
	const {cluster, other, pauses} = await startWithWaitingUnits(t);
	cluster.store.faults.silentWatches.add(JOBS_PREFIX);
	await other.jobs.cancel(addressOf(2));
	cluster.store.faults.isCompacted = true;
	await cluster.clock.tickAsync(6000);
	t.equal(pauses(), 1);
	t.equal(cluster.startsOf(unitOf(2)) + cluster.startsOf(unitOf(3)), 0);
	cluster.store.faults.silentWatches.clear();
	await cluster.clock.tickAsync(2000);
	t.equal(cluster.startsOf(unitOf(2)), 0);
	t.equal(cluster.startsOf(unitOf(3)), 1);
});

// Guards against a listing after a compaction whose age counts from its arrival: the cancellation is stored after it was read.
await t.test('no unit starts on a listing after a compaction that is older than the limit', async (t) => {
	const {cluster, other} = await startWithWaitingUnits(t);
	cluster.store.silenceWatches(JOBS_PREFIX);
	await submitStep(other.jobs, 4, newStep({accelerators: 8}));
	cluster.store.faults.isCompacted = true;
	cluster.store.faults.slowListings.set(JOBS_PREFIX, 5000);
	// The watch is repeated, and its listing is read.
	await cluster.clock.tickAsync(2000);
	await other.jobs.cancel(addressOf(2));
	cluster.store.faults.silentWatches.add(JOBS_PREFIX);
	await cluster.clock.tickAsync(8000);
	t.same(cluster.workers.get('w1')!.running(), [], 'the worker is free');
	t.equal(cluster.startsOf(unitOf(2)) + cluster.startsOf(unitOf(3)), 0);
	cluster.store.faults.silentWatches.clear();
	await cluster.clock.tickAsync(2000);
	t.equal(cluster.startsOf(unitOf(2)), 0);
	t.equal(cluster.startsOf(unitOf(3)), 1);
});
