import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {ServiceError, type JobRecord} from '@bergamotgauge/model';
import t, {type Test} from 'tap';
import {withEviction} from './rack-record.js';
import {createTestCluster, specificationOf, type TestCluster} from './test/test-cluster.js';

const pauseClock = (t: Test): Clock => {
	const clock = FakeTimers.install({now: 1_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	return clock;
};

const rackWrites = (cluster: TestCluster): number =>
	[...cluster.store.writes].filter(([key]) => key.startsWith('racks/')).reduce((sum, [, writes]) => sum + writes, 0);

const totalStarts = (cluster: TestCluster): number =>
	[...cluster.workers.values()]
		.flatMap((worker) => [...worker.starts.values()])
		.reduce((sum, starts) => sum + starts, 0);

const outcomes = (jobs: readonly JobRecord[]): ReadonlyArray<string | undefined> =>
	jobs.map((job) => job.outcome?.kind);

// Guards against an outage of the store that stops running tasks or loses their results.
await t.test('an outage of an hour stops no running task and loses no result', async (t) => {
	const clock = pauseClock(t);
	const cluster = await createTestCluster();
	const engine = cluster.startEngine({id: 'one'});
	const long = await engine.jobs.submit('alpha', specificationOf(8, {runMs: 30 * 60_000, answer: 'whole'}));
	await clock.tickAsync(2000);
	t.equal(totalStarts(cluster), 1, 'the task runs before the outage');

	cluster.store.faults.outage = true;
	const refused = t.rejects(engine.jobs.submit('alpha', specificationOf(1, {})), {
		code: 'store-unavailable',
		verdict: 'not-run',
		retryAfterMs: 1000,
	});
	await clock.tickAsync(60 * 60_000);
	await refused;
	t.equal(cluster.jobs()[0]?.state, 'queued', 'nothing is recorded during the outage');

	cluster.store.faults.outage = false;
	await clock.tickAsync(5000);
	t.match(cluster.jobs(), [{id: long.id, outcome: {kind: 'succeeded', answer: 'whole'}}]);
	t.equal(totalStarts(cluster), 1, 'the task was not started again');
	await engine.close();
});

// Guards against a gang that keeps running on some of its workers, or waits forever, after one of them dies.
await t.test('a dead worker ends the attempt of the whole gang', async (t) => {
	const clock = pauseClock(t);
	const cluster = await createTestCluster(2);
	const dead = new Set<string>();
	const engine = cluster.startEngine({
		id: 'one',
		async intercept(name, call) {
			return dead.has(name.split(' ')[1] ?? '') ? Promise.reject(new Error('no route')) : call();
		},
		isWorkerDead: (worker) => dead.has(worker),
	});
	await engine.jobs.submit('alpha', specificationOf(16, {runMs: 10 * 60_000, answer: 'whole'}));
	await clock.tickAsync(2000);
	const [first] = cluster.racks().flatMap((rack) => rack.placements);
	const victim = first!.blocks[1]!.worker;
	dead.add(victim);
	await clock.tickAsync(3 * 60_000);
	const [second] = cluster.racks().flatMap((rack) => rack.placements);
	t.equal(second?.attempt, 2, 'the gang is placed again');
	t.notOk(
		second?.blocks.some(({worker}) => worker === victim),
		'and not on the dead worker',
	);
	const [survivor] = first!.blocks;
	const leftover = [...cluster.workers.get(survivor!.worker)!.tasks.values()].filter(({attempt}) => attempt === 1);
	t.same(leftover, [], 'the other task of the first attempt was stopped');
	await clock.tickAsync(11 * 60_000);
	t.same(outcomes(cluster.jobs()), ['succeeded']);
	await engine.close();
});

// Guards against a burst of cancellations that costs a store write per job and rack, or that starts a cancelled job.
await t.test('a wave of cancellations costs few writes', async (t) => {
	const clock = pauseClock(t);
	const cluster = await createTestCluster(2);
	const engine = cluster.startEngine({id: 'one'});
	const submitted = Promise.all(
		Array.from({length: 2000}, async () => engine.jobs.submit('alpha', specificationOf(1, {runMs: 3_600_000}))),
	);
	await clock.tickAsync(3000);
	const jobs = await submitted;
	const running = cluster.racks().flatMap((rack) => rack.placements).length;
	t.equal(running, 48, 'every accelerator is in use');
	const writesBefore = rackWrites(cluster);
	const startsBefore = totalStarts(cluster);
	const cancelled = Promise.all(
		jobs.map(async ({id}) => engine.jobs.update(id, (record) => ({...record, cancelRequested: true}))),
	);
	await clock.tickAsync(5000);
	await cancelled;
	t.ok(
		cluster.jobs().every((job) => job.outcome?.kind === 'cancelled'),
		'every job ends as cancelled',
	);
	t.equal(totalStarts(cluster), startsBefore, 'no cancelled job was started');
	t.equal(rackWrites(cluster) - writesBefore, 2, 'one write for each of the two racks');
	await engine.close();
});

// Guards against an eviction that waits for a checkpoint that never ends.
await t.test('a checkpoint that takes too long is cut off at the end of the grace period', async (t) => {
	const clock = pauseClock(t);
	const cluster = await createTestCluster();
	const engine = cluster.startEngine({id: 'one'});
	const {id} = await engine.jobs.submit('alpha', specificationOf(8, {runMs: 60_000, checkpointMs: 3_600_000}));
	await clock.tickAsync(1000);
	const evicted = engine.racks.write('r0', (record) => withEviction(record, id, Date.now() + 800));
	await clock.tickAsync(700);
	await evicted;
	t.equal(cluster.racks()[0]?.placements[0]?.attempt, 1, 'the checkpoint has its grace period');
	await clock.tickAsync(300);
	const [placement] = cluster.racks().flatMap((rack) => rack.placements);
	t.not(placement?.attempt, 1, 'the accelerators are free soon after its end');
	await engine.close();
});

// Guards against a task over its declared size that starves its neighbours, and against stopping a task for a single high sample.
await t.test('a task over its declared size is throttled, then stopped, and its neighbour keeps running', async (t) => {
	const clock = pauseClock(t);
	const cluster = await createTestCluster(1, 3, false);
	const engine = cluster.startEngine({id: 'one'});
	await engine.jobs.submit('alpha', specificationOf(1, {runMs: 120_000, coresUsed: 4}));
	const greedy = await engine.jobs.submit('alpha', specificationOf(1, {runMs: 120_000, memoryGigabytesUsed: 2}));
	const neighbour = await engine.jobs.submit('beta', specificationOf(1, {runMs: 120_000}));
	await clock.tickAsync(5000);
	const throttled = [...cluster.workers.values()]
		.flatMap((worker) => [...worker.tasks.values()])
		.filter((task) => task.throttledTo === 1);
	t.equal(throttled.length, 2, 'both tasks over their size are throttled');
	t.equal(engine.jobs.get(greedy.id)?.state, 'queued', 'one high sample stops nothing');
	await clock.tickAsync(180_000);
	t.match(engine.jobs.get(greedy.id)?.outcome, {
		kind: 'failed',
		verdict: 'ran',
		reason: 'a task used 2 GB of memory, 1 GB are declared',
	});
	t.equal(engine.jobs.get(neighbour.id)?.outcome?.kind, 'succeeded');
	t.equal(
		outcomes(cluster.jobs()).filter((kind) => kind === 'succeeded').length,
		2,
		'the task that obeyed its throttle succeeds',
	);
	await engine.close();
});

// Guards against a job that ends for its use of cores after a throttle that its worker refused or that got no response.
await t.test('only an accepted throttle counts as carried out', async (t) => {
	const clock = pauseClock(t);
	for (const verdict of ['not-run', 'may-have-run'] as const) {
		const cluster = await createTestCluster(1, 3, false);
		let isRefusing = true;
		const engine = cluster.startEngine({
			id: 'one',
			async intercept(name, call) {
				if (isRefusing && name.startsWith('throttle')) {
					throw new ServiceError('the throttle failed', {code: 'worker-failed', verdict});
				}

				return call();
			},
		});
		const busy = await engine.jobs.submit('alpha', specificationOf(1, {runMs: 120_000, coresUsed: 4}));
		const large = await engine.jobs.submit('alpha', specificationOf(1, {runMs: 120_000, memoryGigabytesUsed: 2}));
		await clock.tickAsync(60_000);
		t.equal(engine.jobs.get(busy.id)?.state, 'queued', `${verdict}: the job over its cores runs`);
		t.equal(
			engine.jobs.get(large.id)?.outcome?.reason,
			'a task used 2 GB of memory, 1 GB are declared',
			`${verdict}: a throttle does not lower the use of memory, so that job ends without one`,
		);

		isRefusing = false;
		await clock.tickAsync(1000);
		const throttled = [...cluster.workers.values()]
			.flatMap(({tasks}) => [...tasks.values()])
			.filter((task) => task.job === busy.id && task.throttledTo === 1);
		t.equal(throttled.length, 1, `${verdict}: the throttle is sent again`);
		await clock.tickAsync(120_000);
		t.equal(engine.jobs.get(busy.id)?.outcome?.kind, 'succeeded', `${verdict}: the throttled job succeeds`);
		await engine.close();
	}
});

// Guards against a job that waits forever because it has failed on every worker that could run it.
await t.test('a job that fails on every worker ends as failed', async (t) => {
	const clock = pauseClock(t);
	const cluster = await createTestCluster(1, 2);
	const engine = cluster.startEngine({id: 'one'});
	await engine.jobs.submit('alpha', specificationOf(1, {runMs: 1000, result: 'fail'}));
	await clock.tickAsync(60_000);
	t.same(outcomes(cluster.jobs()), ['failed']);
	await engine.close();
});

// Guards against a worker that fails every task and, because it is therefore always free, is given one job after another.
await t.test('a worker that fails everything is quarantined and the jobs succeed elsewhere', async (t) => {
	const clock = pauseClock(t);
	const cluster = await createTestCluster(4);
	cluster.workers.get('r1-w1')!.faults.failAll = true;
	const engine = cluster.startEngine({id: 'one'});
	const submitted = Promise.all(
		Array.from({length: 48}, async () => engine.jobs.submit('alpha', specificationOf(4, {runMs: 2000}))),
	);
	await clock.tickAsync(60_000);
	await submitted;
	t.ok(
		cluster.jobs().every((job) => job.outcome?.kind === 'succeeded'),
		'every job succeeds',
	);
	const quarantined = cluster.racks().flatMap((rack) => rack.quarantines.map(({worker}) => worker));
	t.same(quarantined, ['r1-w1']);
	await engine.close();
});

// Guards against a broken job version that fails on every worker and gets the whole pool quarantined.
await t.test('jobs that fail everywhere quarantine at most a capped share of the pool', async (t) => {
	const clock = pauseClock(t);
	const cluster = await createTestCluster(4);
	for (const worker of cluster.workers.values()) {
		worker.faults.failAll = true;
	}

	const engine = cluster.startEngine({id: 'one'});
	const submitted = Promise.all(
		Array.from({length: 40}, async () => engine.jobs.submit('alpha', specificationOf(1, {runMs: 2000}))),
	);
	await clock.tickAsync(120_000);
	await submitted;
	t.ok(
		cluster.jobs().every((job) => job.outcome?.kind === 'failed'),
		'every job ends as failed',
	);
	const quarantined = cluster.racks().flatMap((rack) => rack.quarantines.filter(({state}) => state === 'quarantined'));
	t.ok(
		quarantined.length <= 1,
		`${quarantined.length} of 12 workers are quarantined; the cap is a tenth, at least one`,
	);
	await engine.close();
});

// Guards against a guarantee that cannot be reclaimed in time while others use its accelerators.
await t.test('urgent work reclaims its guarantee within 1.1 s from a pool full of borrowed work', async (t) => {
	const clock = pauseClock(t);
	const cluster = await createTestCluster(2);
	const engine = cluster.startEngine({id: 'one'});
	const borrowed = Promise.all(
		Array.from({length: 48}, async () =>
			engine.jobs.submit('beta', specificationOf(1, {runMs: 3_600_000, checkpointMs: 30_000})),
		),
	);
	await clock.tickAsync(10_000);
	await borrowed;
	t.equal(totalStarts(cluster), 48, 'borrowed work holds every accelerator');
	const submittedMs = clock.now;
	const submission = engine.jobs.submit('alpha', specificationOf(8, {runMs: 10_000}, 'urgent'));
	await clock.tickAsync(1);
	const urgent = await submission;
	while (totalStarts(cluster) < 49 && clock.now < submittedMs + 10_000) {
		await clock.tickAsync(10);
	}

	t.ok(clock.now - submittedMs <= 1100, `the urgent job started after ${clock.now - submittedMs} ms`);
	await clock.tickAsync(11_000);
	t.equal(engine.jobs.get(urgent.id)?.outcome?.kind, 'succeeded');
	t.ok(
		cluster.jobs().every((job) => job.id === urgent.id || job.state === 'queued'),
		'the evicted work is queued or runs again',
	);
	await engine.close();
});
