import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import {createLog, parseLine} from '@bergamotgauge/telemetry';
import t, {type Test} from 'tap';
import {JOBS_PREFIX} from './keys.js';
import {addressOf, createTestCluster, newWorker, submitStep, unitOf, WORKER_PREFIX} from './test/cluster.js';

/** Limit on starts after the cancellation of their job, and on starts after the report of a drain. */
const CANCELLATION_MS = 3000;
const DRAIN_NOTICE_MS = 2000;

/** A log that records the times of its lines by event. */
const createTimedLog = () => {
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
	return {log, times};
};

/** A worker that unit 1 occupies until 5.5 s, while unit 2 waits for it; the clock is at 1 s. */
const startWithWaitingUnit = async (t: Test) => {
	const {log, times} = createTimedLog();
	const cluster = createTestCluster(
		t,
		[newWorker('w1')],
		(unit) => ({runMs: unit === unitOf(1) ? 5000 : 20_000, how: 'done'}),
		{log},
	);
	const leader = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	const other = cluster.startInstance('two');
	await submitStep(other.scheduler.jobs, 1, newStep({accelerators: 8}));
	await submitStep(other.scheduler.jobs, 2, newStep({accelerators: 8}));
	await cluster.clock.tickAsync(500);
	t.equal(cluster.startsOf(unitOf(1)), 1);
	return {cluster, leader, other, times};
};

// Guards against a leader that has not heard of a cancellation for longer than the limit and starts units of the job.
await t.test('no unit of a cancelled job starts while the watch on jobs is silent', async (t) => {
	const {cluster, other} = await startWithWaitingUnit(t);
	cluster.store.faults.silentWatches.add(JOBS_PREFIX);
	await other.scheduler.jobs.cancel(addressOf(2));
	await cluster.clock.tickAsync(CANCELLATION_MS + 3000);
	t.equal(cluster.startsOf(unitOf(1)), 1);
	t.equal(cluster.startsOf(unitOf(2)), 0);
	cluster.store.faults.silentWatches.clear();
	await cluster.clock.tickAsync(5000);
	t.equal(cluster.startsOf(unitOf(2)), 0);
});

// Guards against starts that cease after a silence of the watch, although the leader hears of changes again.
await t.test('a waiting unit starts soon after a long silence of the watch on jobs', async (t) => {
	const {cluster} = await startWithWaitingUnit(t);
	cluster.store.faults.silentWatches.add(JOBS_PREFIX);
	await cluster.clock.tickAsync(9000);
	cluster.store.faults.silentWatches.clear();
	await cluster.clock.tickAsync(1500);
	t.equal(cluster.startsOf(unitOf(2)), 1);
});

// Guards against starts that are put off although one watch alone is silent and its repeat shows that the view is current.
await t.test('one silent watch on jobs does not delay a start', async (t) => {
	for (let silentAtMs = 1000; silentAtMs <= 4500; silentAtMs += 250) {
		await t.test(`silent from ${silentAtMs} ms on`, async (t) => {
			const {cluster} = await startWithWaitingUnit(t);
			await cluster.clock.tickAsync(silentAtMs - 1000);
			cluster.store.silenceWatches(JOBS_PREFIX);
			await cluster.clock.tickAsync(6000 - silentAtMs);
			t.equal(cluster.startsOf(unitOf(2)), 1);
		});
	}
});

// Guards against a new leader that starts what was cancelled while it listed the jobs.
await t.test('a new leader starts no unit on a listing that is older than the limit', async (t) => {
	const {cluster, leader, other} = await startWithWaitingUnit(t);
	cluster.store.faults.slowListings.set(JOBS_PREFIX, 5000);
	leader.crash();
	// The lease of the leader ends, and the other instance begins to list the jobs.
	await cluster.clock.tickAsync(2500);
	await cluster.startInstance('three').scheduler.jobs.cancel(addressOf(2));
	await cluster.clock.tickAsync(12_000);
	t.equal(cluster.startsOf(unitOf(2)), 0);
	t.equal(await other.scheduler.jobs.state(addressOf(2)), 'cancelled');
});

// Guards against a new leader whose listing is old on arrival and whose watch then brings no changes: only the age of the
// listing tells that a job may have been cancelled since.
await t.test('a new leader with an old listing and a silent watch starts nothing', async (t) => {
	const {cluster, leader, other, times} = await startWithWaitingUnit(t);
	await submitStep(other.scheduler.jobs, 3, newStep({accelerators: 8}));
	cluster.store.faults.slowListings.set(JOBS_PREFIX, 5000);
	cluster.store.faults.silentWatches.add(JOBS_PREFIX);
	leader.crash();
	// The lease of the leader ends, and the other instance begins to list the jobs.
	await cluster.clock.tickAsync(2500);
	t.equal(times.get('taken-over')?.length, 1);
	await cluster.startInstance('three').scheduler.jobs.cancel(addressOf(2));
	await cluster.clock.tickAsync(12_000);
	t.equal(times.get('taken-over')?.length, 2, 'the listing has arrived');
	t.same(cluster.workers.get('w1')!.running(), [], 'the worker is free');
	t.equal(cluster.startsOf(unitOf(2)) + cluster.startsOf(unitOf(3)), 0);
	cluster.store.faults.silentWatches.clear();
	await cluster.clock.tickAsync(5000);
	t.equal(cluster.startsOf(unitOf(2)), 0);
	t.equal(cluster.startsOf(unitOf(3)), 1, 'the other waiting unit starts');
	t.equal(await other.scheduler.jobs.state(addressOf(2)), 'cancelled');
});

// Guards against starts on a worker that has reported for longer than the limit that it drains.
await t.test('no unit starts on a draining worker while the watch on workers is silent', async (t) => {
	const {cluster} = await startWithWaitingUnit(t);
	cluster.store.faults.silentWatches.add(WORKER_PREFIX);
	cluster.report(newWorker('w1', {state: 'draining', remainingMs: 4000}));
	await cluster.clock.tickAsync(DRAIN_NOTICE_MS + 3000);
	t.equal(cluster.startsOf(unitOf(2)), 0);
});

// Guards against starts that are put off although one watch alone is silent.
await t.test('one silent watch on workers delays a start by less than a second', async (t) => {
	for (let silentAtMs = 1000; silentAtMs <= 5000; silentAtMs += 250) {
		await t.test(`silent from ${silentAtMs} ms on`, async (t) => {
			const {cluster} = await startWithWaitingUnit(t);
			await cluster.clock.tickAsync(silentAtMs - 1000);
			cluster.store.silenceWatches(WORKER_PREFIX);
			await cluster.clock.tickAsync(6500 - silentAtMs);
			t.equal(cluster.startsOf(unitOf(2)), 1);
		});
	}
});

// Guards against plans on outdated views, whose starts are all withdrawn and whose evictions make room for nothing.
await t.test('nothing is planned while a view is outdated', async (t) => {
	const {log, times} = createTimedLog();
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], undefined, {log});
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(1000);
	cluster.store.faults.silentWatches.add(WORKER_PREFIX);
	await cluster.clock.tickAsync(DRAIN_NOTICE_MS);
	await submitStep(scheduler.jobs, 1);
	await cluster.clock.tickAsync(4000);
	t.same(times.get('starts-paused')?.length, 1);
	t.equal(times.get('part-start'), undefined);
	cluster.store.faults.silentWatches.clear();
	await cluster.clock.tickAsync(2000);
	t.equal(cluster.startsOf(unitOf(1)), 1);
});

// Guards against waiting work that, after the views are recent again, waits on for the next planning pass.
await t.test('waiting units start as soon as the views are recent again', async (t) => {
	for (let silentMs = 6000; silentMs < 6500; silentMs += 100) {
		await t.test(`silent for ${silentMs} ms`, async (t) => {
			const {cluster, times} = await startWithWaitingUnit(t);
			cluster.store.faults.silentWatches.add(JOBS_PREFIX);
			await cluster.clock.tickAsync(silentMs);
			t.equal(cluster.startsOf(unitOf(2)), 0);
			cluster.store.faults.silentWatches.clear();
			await cluster.clock.tickAsync(2000);
			const resumedMs = times.get('starts-resumed')?.at(-1) ?? 0;
			const startedMs = times.get('part-start')?.at(-1) ?? Number.POSITIVE_INFINITY;
			t.ok(startedMs >= resumedMs && startedMs - resumedMs < 100, `${startedMs - resumedMs} ms after they were`);
		});
	}
});
