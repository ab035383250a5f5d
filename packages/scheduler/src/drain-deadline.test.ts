import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t, {type Test} from 'tap';
import {createTestCluster, newWorker, submitStep, unitOf, WORKER_PREFIX} from './test/cluster.js';

/** Time from the report of a drain until the worker leaves. */
const REMAINING_MS = 4000;

/** Two workers, and a unit that runs for `runMs` on one of them, the holder, and has started up to 0.5 s ago. */
const startUnit = async (t: Test, runMs: number) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], () => ({runMs, how: 'done'}));
	const leader = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(leader.scheduler.jobs, 1, newStep({estimateMs: runMs}));
	await cluster.clock.tickAsync(500);
	const holder = [...cluster.workers.values()].find(({running}) => running().length > 0)!;
	const drain = () => {
		cluster.report({...holder.worker, state: 'draining', remainingMs: REMAINING_MS});
	};

	/** Whether the unit runs, and on another worker than the holder. */
	const isMoved = () =>
		holder.running().length === 0 && [...cluster.workers.values()].some(({running}) => running().length > 0);
	return {cluster, leader, drain, isMoved};
};

// Guards against units that are lost with a worker because a new leader counts the time left to it from its own first listing.
await t.test('a new leader moves a unit that may end after a draining worker leaves', async (t) => {
	const {cluster, leader, drain, isMoved} = await startUnit(t, 5000);
	cluster.startInstance('two');
	leader.crash();
	drain();
	// The unit would end 0.5 s after the worker leaves, and the new leader is elected more than 1 s after the report.
	await cluster.clock.tickAsync(REMAINING_MS);
	t.ok(isMoved(), 'the unit has been moved when the worker leaves');
});

// Guards against units that are lost with a worker because the time left to it counts from the end of a silence of the watch.
await t.test('a unit is moved in time although the watch was silent when its worker began to drain', async (t) => {
	const {cluster, drain, isMoved} = await startUnit(t, 6000);
	cluster.store.faults.silentWatches.add(WORKER_PREFIX);
	cluster.store.silenceWatches(WORKER_PREFIX);
	await cluster.clock.tickAsync(100);
	drain();
	await cluster.clock.tickAsync(2500);
	cluster.store.faults.silentWatches.clear();
	await cluster.clock.tickAsync(REMAINING_MS - 2500);
	t.ok(isMoved(), 'the unit has been moved when the worker leaves');
});

// Guards against units that are stopped for nothing, which would have ended before their worker leaves.
await t.test('a unit that ends before a draining worker leaves stays there', async (t) => {
	const {cluster, drain} = await startUnit(t, 2500);
	drain();
	await cluster.clock.tickAsync(REMAINING_MS);
	t.equal(cluster.startsOf(unitOf(1)), 1);
});
