/** Pattern: an overloaded event loop. The leader reads late what sound workers have reported in time. */
import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {CLOCK_RATE_ERROR, OFFSET_INTERVAL_MS} from './constants.js';
import {createTestCluster, newWorker, submitStep, unitOf} from './test/cluster.js';
import {createWorkerClock} from './worker-clock.js';

const LONG_RUN_MS = 30_000;
const SHORT_RUN_MS = 100;

// Guards against work that is stopped as stalled on a sound worker: the time for which its report was not read counted as
// time without progress.
await t.test('a report that is read late does not show a stall', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], (unit) => ({
		runMs: unit === unitOf(1) ? LONG_RUN_MS : SHORT_RUN_MS,
		how: 'done',
	}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(2500);
	for (const {faults} of cluster.workers.values()) {
		faults.reportDelayMs = 1600;
	}

	// Callers' estimates are often far too short.
	await submitStep(scheduler.jobs, 1, newStep({estimateMs: 1000}));
	await submitStep(scheduler.jobs, 2, newStep({estimateMs: SHORT_RUN_MS}));
	await cluster.clock.tickAsync(10_000);
	t.equal(cluster.startsOf(unitOf(1)), 1);
	t.same(cluster.violations, []);
});

// Guards against a time of a report that drifts away from the worker's clock, which may run 2% slow.
await t.test('the time of a report follows a slow clock, whenever it is read', async (t) => {
	const clock = createWorkerClock(0);
	// The difference between the clocks is as old as two intervals at most, and each report takes up to 10 ms.
	const maxErrorMs = 2 * OFFSET_INTERVAL_MS * CLOCK_RATE_ERROR + 10;
	for (let atMs = 0; atMs < 60_000; atMs += 500) {
		const workerMs = 40_000 + atMs * 0.98;
		// Two of three reports are read late.
		const receivedMs = atMs + (atMs % 1500 === 0 ? 2 : 800);
		clock.observe(workerMs, atMs - 1000, receivedMs);
		const estimateMs = clock.timeOf(workerMs, atMs - 1000, receivedMs);
		t.ok(Math.abs(estimateMs - atMs) <= maxErrorMs, `composed at ${atMs}, estimated ${estimateMs}`);
	}
});
