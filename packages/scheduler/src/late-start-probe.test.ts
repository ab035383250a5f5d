/** Pattern: a start without a response is carried out by the next incarnation of its worker, under the same id. */
import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t, {type Test} from 'tap';
import {LATE_START_PROBE_PAUSE_MS} from './constants.js';
import {addressOf, createTestCluster, newWorker, submitStep, unitOf, WORKER_RESTART_MS} from './test/cluster.js';

const RUN_MS = 1000;

/** Time that a call takes to reach a worker. */
const CONNECTION_MS = 3;

/** Time between the crashes of two workers; no multiple of the pause between two calls. */
const CRASH_SPREAD_MS = 7;

/** Time from the end of a job to the crash of its worker. */
const IDLE_MS = 500;

/** A worker that has ended a unit, with a start of it that is still under way, at the moment at which the next incarnation is up. */
const createFixture = async (t: Test, workers = 1) => {
	const ids = Array.from({length: workers}, (_, index) => `w${index + 1}`);
	const cluster = createTestCluster(
		t,
		ids.map((id) => newWorker(id, {startedMs: 900_000})),
		() => ({runMs: RUN_MS, how: 'done'}),
	);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	for (const [index, id] of ids.entries()) {
		cluster.workers.get(id)!.faults.delayedStarts = 1;
		await submitStep(scheduler.jobs, index + 1, newStep({cpuMillis: 40_000, accelerators: 8, estimateMs: RUN_MS}));
	}

	await cluster.clock.tickAsync(RUN_MS + IDLE_MS);
	for (const [index] of ids.entries()) {
		t.equal(await scheduler.jobs.state(addressOf(index + 1)), 'completed');
	}

	const upMs = new Map<string, number>();
	for (const id of ids) {
		cluster.workers.get(id)!.faults.connectionWaitMs = CONNECTION_MS;
		cluster.crashWorker(id);
		upMs.set(id, performance.now() + WORKER_RESTART_MS);
		await cluster.clock.tickAsync(CRASH_SPREAD_MS);
	}

	await cluster.clock.tickAsync(upMs.get('w1')! - performance.now() - 10);
	// The leader has just read a report, as it does all the time with many workers, and pauses before it reads the next ones.
	cluster.report(cluster.workers.get('w1')!.worker);
	await cluster.clock.tickAsync(10);
	/** Time from the restart of a worker to the first stop that reaches it. */
	const windowMs = (id: string): number => {
		const sinceMs = upMs.get(id)!;
		const stop = cluster.workers.get(id)!.calls.find(({kind, atMs}) => kind === 'stop' && atMs >= sinceMs);
		return (stop?.atMs ?? Number.POSITIVE_INFINITY) - sinceMs;
	};

	return {cluster, scheduler, windowMs};
};

// Guards against the window in which the next incarnation carries out a start of a unit that has ended: it was as long as
// the store took to list the new incarnation, up to 250 ms and more.
await t.test('the first call to the next incarnation stops the late start', async (t) => {
	const {cluster, windowMs} = await createFixture(t);
	await cluster.clock.tickAsync(LATE_START_PROBE_PAUSE_MS + CONNECTION_MS);
	cluster.workers.get('w1')!.release();
	await cluster.clock.tickAsync(20_000);
	t.ok(windowMs('w1') <= LATE_START_PROBE_PAUSE_MS + CONNECTION_MS, `${windowMs('w1')} ms`);
	t.same(cluster.violations, []);
	t.equal(cluster.startsOf(unitOf(1)), 1);
});

// Guards against calls that take the leader's processor time when many workers crash at once: 100 a second in all.
await t.test('workers that crash together share the rate of the calls', async (t) => {
	const workers = 10;
	const {cluster, windowMs} = await createFixture(t, workers);
	const countStops = () =>
		[...cluster.workers.values()].reduce((sum, {calls}) => sum + calls.filter(({kind}) => kind === 'stop').length, 0);
	t.ok(countStops() <= (WORKER_RESTART_MS / LATE_START_PROBE_PAUSE_MS) * 1.1, `${countStops()} calls`);
	await cluster.clock.tickAsync(2000);
	for (const id of cluster.workers.keys()) {
		t.ok(windowMs(id) <= LATE_START_PROBE_PAUSE_MS * workers + CONNECTION_MS, `${id}: ${windowMs(id)} ms`);
	}
});

// Guards against a stop of good work on a worker that was only cut off for a moment.
await t.test('a run that is still placed is not stopped', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1', {startedMs: 900_000})], () => ({runMs: 6000, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	const {faults, calls} = cluster.workers.get('w1')!;
	faults.delayedStarts = 1;
	await submitStep(scheduler.jobs, 1, newStep({estimateMs: 6000}));
	await cluster.clock.tickAsync(1000);
	faults.isCutOff = true;
	await cluster.clock.tickAsync(4000);
	faults.isCutOff = false;
	await cluster.clock.tickAsync(6000);
	t.same(
		calls.filter(({kind}) => kind === 'stop'),
		[],
	);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
	t.equal(cluster.startsOf(unitOf(1)), 1);
});
