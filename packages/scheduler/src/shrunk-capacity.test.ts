import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {createTestCluster, newWorker, submitStep, unitOf} from './test/cluster.js';

const RUN_MS = 20_000;
const ACCELERATORS = 4;

// Guards against a start that is sent to a worker whose capacity has shrunk since the plan was made.
await t.test('the capacity of a worker is checked when a start is sent', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')], () => ({runMs: RUN_MS, how: 'done'}), {
		acceleratorsOf: () => ACCELERATORS,
	});
	const {scheduler} = cluster.startInstance('one');
	const step = newStep({cpuMillis: 4000, accelerators: ACCELERATORS, estimateMs: RUN_MS});
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, step);
	await cluster.clock.tickAsync(1000);
	const {faults, worker} = cluster.workers.get('w1')!;
	// The first attempt gets no response, so that the start would be repeated after the report.
	faults.responseLossMs = 1000;
	faults.script.start = ['dropped'];
	await submitStep(scheduler.jobs, 2, step);
	await cluster.clock.tickAsync(150);
	cluster.resize('w1', {...worker.capacity, accelerators: ACCELERATORS});
	await cluster.clock.tickAsync(5000);
	t.equal(cluster.startsOf(unitOf(2)), 0);
	cluster.resize('w1', worker.capacity);
	await cluster.clock.tickAsync(5000);
	t.equal(cluster.startsOf(unitOf(2)), 1, 'it starts when the capacity has grown again');
	t.same(cluster.violations, []);
});

// Guards against further starts on a worker whose capacity has fallen below what runs there.
await t.test('a worker that has shrunk below its load gets no starts', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')], () => ({runMs: RUN_MS, how: 'done'}), {
		acceleratorsOf: () => ACCELERATORS,
	});
	const {scheduler} = cluster.startInstance('one');
	const step = newStep({cpuMillis: 4000, accelerators: ACCELERATORS, estimateMs: RUN_MS});
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, step);
	await cluster.clock.tickAsync(1000);
	cluster.resize('w1', {...cluster.workers.get('w1')!.worker.capacity, accelerators: 2});
	await cluster.clock.tickAsync(1000);
	await submitStep(scheduler.jobs, 2, step);
	await cluster.clock.tickAsync(12_000);
	t.equal(cluster.startsOf(unitOf(2)), 0);
	t.equal(cluster.workers.get('w1')!.running().length, 1, 'running work goes on');
	t.same(cluster.violations, []);
});
