/** Pattern: workers list their ends a page at a time, the next page when the one before is acknowledged. */
import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {JOBS_PREFIX} from './keys.js';
import {addressOf, createTestCluster, newWorker, submitStep, unitOf} from './test/cluster.js';

const UNITS = 9;
const RUN_MS = 3000;

/** Time between two pages, in which a leader that takes the first one for all of them plans. */
const REPORT_DELAY_MS = 50;

/** All units of the step fit on the only worker. */
const STEP = newStep({count: UNITS, cpuMillis: 1000, estimateMs: RUN_MS});

const UNIT_NAMES = Array.from({length: UNITS}, (_, index) => unitOf(1, index));

// Guards against a new leader that takes the first page of a worker's ends for all of them: it started the units again
// whose ends were on the next page.
await t.test('units whose ends are on a later page are not started again by a new leader', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], () => ({runMs: RUN_MS, how: 'done'}));
	for (const {faults} of cluster.workers.values()) {
		faults.endsPerReport = 2;
		faults.reportDelayMs = REPORT_DELAY_MS;
	}

	const first = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	const second = cluster.startInstance('two');
	await cluster.clock.tickAsync(500);
	await submitStep(first.scheduler.jobs, 1, STEP);
	await cluster.clock.tickAsync(RUN_MS - 500);
	first.crash();
	await cluster.clock.tickAsync(20_000);
	t.same(cluster.violations, []);
	for (const unit of UNIT_NAMES) {
		t.equal(cluster.startsOf(unit), 1, unit);
	}

	t.equal(await second.scheduler.jobs.state(addressOf(1)), 'completed');
});

// Guards against a leader that ends before the list is complete and leaves a roster in which the worker has no units.
await t.test('a second change of leader between two pages starts no unit again', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], () => ({runMs: RUN_MS, how: 'done'}));
	const first = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	const second = cluster.startInstance('two');
	await cluster.clock.tickAsync(500);
	await submitStep(first.scheduler.jobs, 1, STEP);
	await cluster.clock.tickAsync(RUN_MS - 500);
	for (const {faults} of cluster.workers.values()) {
		faults.endsPerReport = 2;
		faults.reportDelayMs = REPORT_DELAY_MS;
	}

	first.crash();
	const third = cluster.startInstance('three');
	const acknowledged = () => Math.max(...[...cluster.workers.values()].map((worker) => worker.acknowledged()));
	while (acknowledged() === 0) {
		await cluster.clock.tickAsync(1);
	}

	t.ok(acknowledged() < UNITS, 'pages are left');
	second.crash();
	await cluster.clock.tickAsync(20_000);
	t.same(cluster.violations, []);
	for (const unit of UNIT_NAMES) {
		t.equal(cluster.startsOf(unit), 1, unit);
	}

	t.equal(await third.scheduler.jobs.state(addressOf(1)), 'completed');
});

// Guards against a leader that gives up a run, and starts it again, because several reports list neither the run nor its
// end: the store is slow, so the pages before the one with its end are not acknowledged yet.
await t.test('a run whose end is on a later page has not vanished', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], () => ({runMs: RUN_MS, how: 'done'}));
	for (const {faults} of cluster.workers.values()) {
		faults.endsPerReport = 2;
	}

	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, STEP);
	await cluster.clock.tickAsync(RUN_MS - 100);
	cluster.store.faults.refusedKeys.add(JOBS_PREFIX);
	await cluster.clock.tickAsync(6000);
	cluster.store.faults.refusedKeys.clear();
	await cluster.clock.tickAsync(15_000);
	t.same(cluster.violations, []);
	for (const unit of UNIT_NAMES) {
		t.equal(cluster.startsOf(unit), 1, unit);
	}

	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
});
