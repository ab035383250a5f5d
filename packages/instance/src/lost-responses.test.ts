import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {ServiceError} from '@bergamotgauge/model';
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

const totalStarts = (cluster: TestCluster): number =>
	[...cluster.workers.values()]
		.flatMap((worker) => [...worker.starts.values()])
		.reduce((sum, starts) => sum + starts, 0);

const runningTasks = (cluster: TestCluster): number =>
	[...cluster.workers.values()].flatMap((worker) => [...worker.tasks.values()]).filter(({state}) => state === 'running')
		.length;

const firstPlacement = (cluster: TestCluster) => cluster.racks().flatMap((rack) => rack.placements)[0];

// Guards against a job that runs on two workers at once: lease renewals that reach the worker but get no response extend its lease.
await t.test('a job moves off a worker only after the last renewal that may have reached it has expired', async (t) => {
	const clock = pauseClock(t);
	const cluster = await createTestCluster(2);
	const mute = new Set<string>();
	const engine = cluster.startEngine({id: 'one', isWorkerMute: (worker) => mute.has(worker)});
	await engine.jobs.submit('alpha', specificationOf(8, {runMs: 60 * 60_000}));
	await clock.tickAsync(2000);
	t.equal(totalStarts(cluster), 1, 'the job runs');

	mute.add(firstPlacement(cluster)!.blocks[0]!.worker);
	let mostRunning = 0;
	for (let second = 0; second < 180; second += 1) {
		await clock.tickAsync(1000);
		mostRunning = Math.max(mostRunning, runningTasks(cluster));
	}

	t.equal(mostRunning, 1, 'the job never runs twice at the same time');
	t.equal(totalStarts(cluster), 2, 'the job starts elsewhere in the end');
	t.equal(runningTasks(cluster), 1, 'and runs there');
	await engine.close();
});

// Guards against a job that is reported as not run because its last attempt was not started, although an earlier one ran.
await t.test('a job that is cancelled before its second attempt starts may have run', async (t) => {
	const clock = pauseClock(t);
	const cluster = await createTestCluster();
	const engine = cluster.startEngine({
		id: 'one',
		async intercept(name, call) {
			if (name.startsWith('prepare') && totalStarts(cluster) > 0) {
				throw new ServiceError('the worker refuses', {code: 'worker-failed', verdict: 'not-run', status: 503});
			}

			return call();
		},
	});
	const {id} = await engine.jobs.submit('alpha', specificationOf(1, {runMs: 1000, result: 'fail'}));
	await clock.tickAsync(5000);
	t.equal(firstPlacement(cluster)?.attempt, 2, 'the second attempt is placed');
	t.equal(totalStarts(cluster), 1, 'and its start is refused');

	const cancelled = engine.jobs.update(id, (record) => ({...record, cancelRequested: true}));
	await clock.tickAsync(2000);
	await cancelled;
	t.match(engine.jobs.get(id)?.outcome, {kind: 'cancelled', verdict: 'may-have-run'});
	await engine.close();
});

// Guards against a second run of an at-most-once job by an instance whose replica lacks the start by the previous owner.
await t.test('a new owner with an old replica does not repeat an at-most-once job', async (t) => {
	const clock = pauseClock(t);
	const cluster = await createTestCluster();
	let assign: (() => void) | undefined;
	let isAssignHeld = false;
	const first = cluster.startEngine({
		id: 'first',
		async intercept(name, call) {
			if (isAssignHeld && name.startsWith('put jobs/')) {
				await new Promise<void>((resolve) => {
					assign = resolve;
				});
			}

			return call();
		},
	});
	const {id} = await first.jobs.submit('alpha', specificationOf(1, {runMs: 60_000}, 'once'));
	isAssignHeld = true;
	await clock.tickAsync(1000);
	const owners = ['first'];
	const second = cluster.startEngine({id: 'second', owners, isBehind: true});
	isAssignHeld = false;
	assign!();
	await clock.tickAsync(1000);
	t.equal(totalStarts(cluster), 1, 'the job runs');
	t.equal(second.jobs.get(id)?.assignment, undefined, 'and the other replica lacks its assignment');

	const closed = first.close();
	await clock.tickAsync(1000);
	await closed;
	const {worker} = firstPlacement(cluster)!.blocks[0]!;
	cluster.workers.get(worker)!.restart();
	owners.splice(0, 1, 'second');
	await second.context.membership.events.emit('changed', undefined as never);
	await clock.tickAsync(5000);
	t.equal(totalStarts(cluster), 1, 'the job is not started again');
	t.match(cluster.jobs(), [{id, outcome: {kind: 'unknown', verdict: 'may-have-run'}}]);
	await second.close();
});

// Guards against a checkpoint that is discarded because the response to its call was lost.
await t.test('a checkpoint whose response is lost is kept', async (t) => {
	const clock = pauseClock(t);
	for (const jobClass of ['batch', 'once']) {
		const cluster = await createTestCluster();
		let lostResponses = 1;
		const engine = cluster.startEngine({
			id: 'one',
			async intercept(name, call) {
				const result = await call();
				if (name.startsWith('checkpoint') && lostResponses > 0) {
					lostResponses -= 1;
					throw new ServiceError('no response', {code: 'worker-failed', verdict: 'may-have-run'});
				}

				return result;
			},
		});
		const {id} = await engine.jobs.submit('alpha', specificationOf(8, {runMs: 60_000, checkpointMs: 100}, jobClass));
		await clock.tickAsync(1000);
		const evicted = engine.racks.write('r0', (record) => withEviction(record, id, Date.now() + 2000));
		await clock.tickAsync(3000);
		await evicted;
		t.equal(lostResponses, 0, 'the response was lost');
		t.match(engine.jobs.get(id), {state: 'queued', attempt: 2, checkpointAttempt: 1}, `class ${jobClass}`);
		await engine.close();
	}
});

// Guards against a task that loses its progress because its worker could not make the checkpoint at the first request.
await t.test('a checkpoint that the worker refuses for now is asked for again in the grace period', async (t) => {
	const clock = pauseClock(t);
	for (const [status, refusals, checkpointAttempt] of [
		[429, 2, 1],
		[503, 2, 1],
		[503, Number.POSITIVE_INFINITY, undefined],
		[400, 1, undefined],
	] as const) {
		const cluster = await createTestCluster();
		let calls = 0;
		const engine = cluster.startEngine({
			id: 'one',
			async intercept(name, call) {
				if (name.startsWith('checkpoint')) {
					calls += 1;
					if (calls <= refusals) {
						throw new ServiceError('the worker refuses', {code: 'worker-failed', verdict: 'not-run', status});
					}
				}

				return call();
			},
		});
		const {id} = await engine.jobs.submit('alpha', specificationOf(8, {runMs: 60_000, checkpointMs: 100}));
		await clock.tickAsync(1000);
		const evicted = engine.racks.write('r0', (record) => withEviction(record, id, Date.now() + 2000));
		await clock.tickAsync(3000);
		await evicted;
		const name = `${refusals} refusals with status ${status}`;
		t.match(engine.jobs.get(id), {state: 'queued', attempt: 2}, `${name}: the task has ended`);
		t.equal(engine.jobs.get(id)?.checkpointAttempt, checkpointAttempt, `${name}: checkpoint`);
		t.equal(calls > 1, status !== 400, `${name}: only a refusal for now is followed by another request`);
		await engine.close();
	}
});
