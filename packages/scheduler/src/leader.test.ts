import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {addressOf, createTestCluster, newWorker, submitStep, unitOf} from './test/cluster.js';

// Guards against a job that is accepted and never runs, or whose end is forgotten by the worker before it is stored.
await t.test('a job runs once and is shown as completed', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')]);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1);
	await cluster.clock.tickAsync(200);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'queued');
	await cluster.clock.tickAsync(2500);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
	t.equal(cluster.startsOf(unitOf(1)), 1);
	t.equal(cluster.workers.get('w1')!.acknowledged(), 1, 'the end is noted after it is stored');
});

// Guards against a second run of a unit whose leader died after it was started.
await t.test('a new leader takes over what runs', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], () => ({runMs: 6000, how: 'done'}));
	const one = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(one.scheduler.jobs, 1);
	await cluster.clock.tickAsync(500);
	t.equal(cluster.startsOf(unitOf(1)), 1);
	one.crash();
	const two = cluster.startInstance('two');
	await cluster.clock.tickAsync(9000);
	t.equal(await two.scheduler.jobs.state(addressOf(1)), 'completed');
	t.equal(cluster.startsOf(unitOf(1)), 1, 'the unit was not started again');
});

// Guards against a start elsewhere while the unit may still run on a worker that cannot be reached.
await t.test('the work of a worker that is cut off waits for the end of its lease', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2', {rack: 'r1-2'})], () => ({
		runMs: 30_000,
		how: 'done',
	}));
	const one = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(one.scheduler.jobs, 1);
	await cluster.clock.tickAsync(500);
	const holder = [...cluster.workers.values()].find(({running}) => running().length > 0)!;
	holder.faults.isCutOff = true;
	one.crash();
	cluster.startInstance('two');
	let overlapMs = 0;
	for (let step = 0; step < 150; step += 1) {
		await cluster.clock.tickAsync(100);
		const places = [...cluster.workers.values()].filter(({running}) => running().length > 0);
		overlapMs += places.length > 1 ? 100 : 0;
	}

	t.equal(overlapMs, 0, 'the unit never runs twice at the same time');
	t.equal(cluster.startsOf(unitOf(1)), 2, 'it runs again after the lease');
});

// Guards against a start that is carried out after the scheduler has given it up.
await t.test('a late order does not start a unit twice', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], () => ({runMs: 8000, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	for (const worker of cluster.workers.values()) {
		worker.faults.delayedStarts = 3;
	}

	await submitStep(scheduler.jobs, 1);
	await cluster.clock.tickAsync(4000);
	for (const worker of cluster.workers.values()) {
		worker.release();
	}

	await cluster.clock.tickAsync(100);
	t.equal([...cluster.workers.values()].flatMap(({running}) => running()).length, 1);
	await cluster.clock.tickAsync(10_000);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
});

// Guards against a start whose answer is lost being counted as a run of its own.
await t.test('a lost answer costs no second run', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')]);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	cluster.workers.get('w1')!.faults.lostAnswers = 1;
	await submitStep(scheduler.jobs, 1);
	await cluster.clock.tickAsync(3000);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
	t.equal(cluster.startsOf(unitOf(1)), 1);
});

// Guards against work that goes on after its caller was told that it is cancelled.
await t.test('a cancelled job is stopped and stays cancelled', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')], () => ({runMs: 20_000, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, newStep({count: 3}));
	await cluster.clock.tickAsync(500);
	t.equal(cluster.workers.get('w1')!.running().length, 3);
	await scheduler.jobs.cancel(addressOf(1));
	t.equal(await scheduler.jobs.state(addressOf(1)), 'cancelled');
	await cluster.clock.tickAsync(1000);
	t.equal(cluster.workers.get('w1')!.running().length, 0);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'cancelled');
});

// Guards against a job that can never be done being tried for good.
await t.test('a job fails after as many failed runs of a unit as its queue allows', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], () => ({runMs: 300, how: 'failed'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1);
	await cluster.clock.tickAsync(5000);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'failed');
	t.equal(cluster.startsOf(unitOf(1)), 2);
});

// Guards against an outage of the store that kills running work or loses its end.
await t.test('an outage of the store stops no running unit', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')], () => ({runMs: 4000, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1);
	await cluster.clock.tickAsync(500);
	cluster.store.faults.isDown = true;
	await cluster.clock.tickAsync(6000);
	cluster.store.faults.isDown = false;
	await cluster.clock.tickAsync(4000);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
	t.equal(cluster.startsOf(unitOf(1)), 1);
});

// Guards against a copy of the jobs that misses what changed while the store dropped its history.
await t.test('a job that is accepted while the history is dropped runs', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')]);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	cluster.store.faults.isCompacted = true;
	await submitStep(scheduler.jobs, 1);
	await cluster.clock.tickAsync(4000);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
});

// Guards against a gang that runs with a part of its members after one of them has failed.
await t.test('a failed member ends the run of its gang, which counts one failure', async (t) => {
	let failures = 0;
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], (unit) => {
		const isFirst = unit.endsWith('.1') && failures === 0;
		failures += isFirst ? 1 : 0;
		return isFirst ? {runMs: 200, how: 'failed'} : {runMs: 1500, how: 'done'};
	});
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, newStep({count: 4, gang: true, accelerators: 4}));
	await cluster.clock.tickAsync(6000);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
	t.equal(cluster.startsOf(unitOf(1, 0)), 2);
});

// Guards against leases that unanswered reports keep extending, so that the work of a dead worker never runs again.
await t.test('the work of a dead worker runs elsewhere after its lease', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], () => ({runMs: 6000, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1);
	await cluster.clock.tickAsync(500);
	const holder = [...cluster.workers.values()].find(({running}) => running().length > 0)!;
	holder.faults.isCutOff = true;
	await cluster.clock.tickAsync(20_000);
	t.equal(cluster.startsOf(unitOf(1)), 2);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
});

// Guards against work that is lost with a worker that had said that it leaves.
await t.test('work that a leaving worker cannot finish moves before it leaves', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], () => ({runMs: 6000, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, newStep({estimateMs: 6000}));
	await cluster.clock.tickAsync(500);
	const holder = [...cluster.workers.values()].find(({running}) => running().length > 0)!;
	cluster.report({...holder.worker, state: 'draining', remainingMs: 2000});
	await cluster.clock.tickAsync(1500);
	t.equal(holder.running().length, 0);
	t.equal([...cluster.workers.values()].flatMap(({running}) => running()).length, 1);
	await cluster.clock.tickAsync(8000);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
});

// Guards against a new leader that lets all waiting work stand still for the leases of workers that are known to be gone.
await t.test('a new leader waits only for what a silent worker may hold', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], () => ({runMs: 4500, how: 'done'}));
	const one = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(one.scheduler.jobs, 1, newStep({accelerators: 8, estimateMs: 4500}));
	await submitStep(one.scheduler.jobs, 2, newStep({accelerators: 8, estimateMs: 4500}));
	await submitStep(one.scheduler.jobs, 3, newStep({accelerators: 8, estimateMs: 4500}));
	await cluster.clock.tickAsync(500);
	cluster.workers.get('w1')!.faults.isCutOff = true;
	// The hold that waits at the worker is lost with it.
	await cluster.clock.tickAsync(3800);
	one.crash();
	const two = cluster.startInstance('two');
	await cluster.clock.tickAsync(7500);
	const states = await Promise.all([1, 2, 3].map(async (id) => two.scheduler.jobs.state(addressOf(id))));
	t.equal(states.filter((state) => state === 'completed').length, 2, 'the waiting job and the other one are done');
	await cluster.clock.tickAsync(12_000);
	for (const id of [1, 2, 3]) {
		t.equal(await two.scheduler.jobs.state(addressOf(id)), 'completed');
	}
});

// Guards against an election, and work that stands still, after each short outage of the store.
await t.test('a leader goes on after an outage that its lease survives', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')]);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	const before = await cluster.store.get('bergamotgauge/term');
	cluster.store.faults.isDown = true;
	cluster.store.pauseLeases();
	await cluster.clock.tickAsync(4000);
	cluster.store.faults.isDown = false;
	cluster.store.resumeLeases();
	await cluster.clock.tickAsync(600);
	await submitStep(scheduler.jobs, 1);
	await cluster.clock.tickAsync(300);
	t.equal(cluster.startsOf(unitOf(1)), 1);
	t.same(await cluster.store.get('bergamotgauge/term'), before, 'the same term goes on');
});

// Guards against a change of leader because the answers to two renewals were lost.
await t.test('lost renewals do not end a term', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')]);
	cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	const before = await cluster.store.get('bergamotgauge/term');
	cluster.store.faults.silentRenewals = 2;
	await cluster.clock.tickAsync(4000);
	t.equal(cluster.store.faults.silentRenewals, 0);
	t.same(await cluster.store.get('bergamotgauge/term'), before);
});

// Load: a full pool while the store is away; all of its work was stopped as standing still when the store came back.
await t.test('work goes on over a pause of the leader', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')], () => ({runMs: 20_000, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, newStep({count: 4}));
	await cluster.clock.tickAsync(3000);
	cluster.store.faults.isDown = true;
	await cluster.clock.tickAsync(4500);
	cluster.store.faults.isDown = false;
	await cluster.clock.tickAsync(20_000);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
	t.same(
		[0, 1, 2, 3].map((index) => cluster.startsOf(unitOf(1, index))),
		[1, 1, 1, 1],
	);
});

// Load: a tenth of the workers turns slow while each urgent gang spans several of them, so that most gangs wait for one.
await t.test('work moves off a worker that has turned slow, and new work avoids it', async (t) => {
	const cluster = createTestCluster(
		t,
		['w1', 'w2', 'w3', 'w4'].map((id) => newWorker(id)),
		() => ({
			runMs: 4000,
			how: 'done',
		}),
	);
	cluster.workers.get('w1')!.faults.slowness = 6;
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	await submitStep(scheduler.jobs, 1, newStep({count: 3, maxPerWorker: 1, estimateMs: 4000}));
	await cluster.clock.tickAsync(3000);
	await submitStep(scheduler.jobs, 2, newStep({count: 4, estimateMs: 4000}));
	await cluster.clock.tickAsync(5000);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
	t.equal(cluster.workers.get('w1')!.starts.size, 1);
});
