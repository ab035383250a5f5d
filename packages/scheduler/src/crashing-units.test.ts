import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {addressOf, createTestCluster, newWorker, submitStep, unitOf} from './test/cluster.js';
import type {UnitBehaviour} from './test/model-runs.js';

const CRASHING_JOB = 1;
const CRASH_AFTER_MS = 10;

const NEIGHBOUR_BEHAVIOUR: UnitBehaviour = {runMs: 5000, how: 'done'};

/** The units of the first job crash their workers shortly after each start. */
const behaviourOf = (unit: string): UnitBehaviour =>
	unit.startsWith(addressOf(CRASHING_JOB).id)
		? {runMs: CRASH_AFTER_MS, how: 'failed', crashesWorker: true}
		: NEIGHBOUR_BEHAVIOUR;

const newWorkers = (count: number) => Array.from({length: count}, (_value, index) => newWorker(`w${index}`));

// Guards against a unit that crashes every worker and is started without end: no end of a run was evidence against it.
await t.test('a unit that crashes its workers fails its job', async (t) => {
	const cluster = createTestCluster(t, newWorkers(6), behaviourOf);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, CRASHING_JOB);
	await cluster.clock.tickAsync(60_000);
	t.same(cluster.violations, []);
	t.equal(cluster.startsOf(unitOf(CRASHING_JOB)), 3);
	t.equal(await scheduler.jobs.state(addressOf(CRASHING_JOB)), 'failed');
});

// Guards against crash counts that only the leader of the moment knows: each change of leader allowed further starts.
await t.test('the crashes under a unit count across changes of leader', async (t) => {
	const cluster = createTestCluster(t, newWorkers(6), behaviourOf);
	let leader = cluster.startInstance('leader-0');
	await cluster.clock.tickAsync(500);
	await submitStep(leader.scheduler.jobs, CRASHING_JOB);
	for (let term = 1; term <= 8; term += 1) {
		const starts = cluster.startsOf(unitOf(CRASHING_JOB));
		for (let step = 0; step < 100 && cluster.startsOf(unitOf(CRASHING_JOB)) === starts; step += 1) {
			await cluster.clock.tickAsync(200);
		}

		// Every other leader ends before the crashed worker responds again.
		await cluster.clock.tickAsync(term % 2 === 0 ? 200 : 5000);
		leader.crash();
		leader = cluster.startInstance(`leader-${term}`);
	}

	await cluster.clock.tickAsync(30_000);
	t.same(cluster.violations, []);
	t.equal(await leader.scheduler.jobs.state(addressOf(CRASHING_JOB)), 'failed');
});

// Guards against jobs that fail because another unit crashed the worker that they shared.
await t.test('units beside one that crashes its worker are completed', async (t) => {
	const cluster = createTestCluster(t, newWorkers(3), behaviourOf);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	for (let id = 1; id <= 7; id += 1) {
		await submitStep(scheduler.jobs, id, newStep({cpuMillis: 8000, accelerators: 1}));
	}

	await cluster.clock.tickAsync(90_000);
	t.same(cluster.violations, []);
	for (let id = 2; id <= 7; id += 1) {
		t.equal(await scheduler.jobs.state(addressOf(id)), 'completed', `job ${id}`);
		t.ok(cluster.startsOf(unitOf(id)) <= 3, `job ${id} is not interrupted again and again`);
	}

	t.equal(await scheduler.jobs.state(addressOf(CRASHING_JOB)), 'failed');
});

// Guards against blame for crashes that the unit did not cause: the pool loses a third of its workers again and again.
await t.test('jobs survive crashes of many workers at once', async (t) => {
	const cluster = createTestCluster(t, newWorkers(9), () => ({runMs: 11_000, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	for (let id = 1; id <= 18; id += 1) {
		await submitStep(scheduler.jobs, id, newStep({cpuMillis: 20_000, accelerators: 2}));
	}

	for (let round = 0; round < 8; round += 1) {
		await cluster.clock.tickAsync(5000);
		const busy = [...cluster.workers].filter(([, model]) => model.running().length > 0).map(([id]) => id);
		for (const id of busy.slice(0, 3)) {
			cluster.crashWorker(id);
		}
	}

	await cluster.clock.tickAsync(60_000);
	for (let id = 1; id <= 18; id += 1) {
		t.equal(await scheduler.jobs.state(addressOf(id)), 'completed', `job ${id}`);
	}
});

// Guards against a planned leave that is taken for a crash.
await t.test('a worker that leaves after a drain is no evidence against its units', async (t) => {
	const cluster = createTestCluster(t, newWorkers(4), () => ({runMs: 30_000, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 2, newStep({accelerators: 8, cpuMillis: 1000}));
	for (let round = 0; round < 4; round += 1) {
		await cluster.clock.tickAsync(1500);
		const [id, model] = [...cluster.workers].findLast(([, {running}]) => running().length > 0)!;
		cluster.report({...model.worker, state: 'draining', remainingMs: 500});
		await cluster.clock.tickAsync(600);
		cluster.crashWorker(id);
		await cluster.clock.tickAsync(4000);
	}

	await cluster.clock.tickAsync(60_000);
	t.equal(await scheduler.jobs.state(addressOf(2)), 'completed');
});

// Guards against a job that fails without telling its caller that its task took workers down.
await t.test('the cause of the failure is part of the job status', async (t) => {
	const cluster = createTestCluster(t, newWorkers(6), behaviourOf);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, CRASHING_JOB);
	await cluster.clock.tickAsync(30_000);
	t.same(await scheduler.jobs.status(addressOf(CRASHING_JOB)), {state: 'failed', failure: 'worker-crashes'});
});

// Guards against a gang that crashes its workers and is counted once for each member, or never.
await t.test('a gang that crashes its workers fails its job', async (t) => {
	const cluster = createTestCluster(t, newWorkers(6), behaviourOf);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, CRASHING_JOB, newStep({count: 3, gang: true, accelerators: 8, cpuMillis: 1000}));
	await cluster.clock.tickAsync(60_000);
	t.same(cluster.violations, []);
	t.equal(cluster.startsOf(unitOf(CRASHING_JOB)), 3);
	t.equal(await scheduler.jobs.state(addressOf(CRASHING_JOB)), 'failed');
});
