import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t, {type Test} from 'tap';
import {RENEWAL_WAIT_MS, STOP_SETTLE_MS, WORKER_RETRY_MS} from './constants.js';
import {
	addressOf,
	BOUNDS,
	createTestCluster,
	newWorker,
	submitStep,
	unitOf,
	type Instance,
	type TestCluster,
} from './test/cluster.js';
import type {CallKind, CallOutcome} from './test/model-worker-faults.js';
import type {ModelWorker} from './test/model-worker-types.js';

/** Time after the confirmation of a cancellation until which its runs may be started. */
const CANCEL_MS = 3000;

/** Time within which the leader has read a change of a job or a worker from the store. */
const CHANGE_READ_MS = 350;

/** Longer than the deadline of any attempt, so that an attempt without a response is given up at its deadline. */
const NO_RESPONSE_MS = 10_000;

type Fixture = Readonly<{
	cluster: TestCluster;
	scheduler: Instance['scheduler'];
	workers: readonly ModelWorker[];
	advance: (lengthMs: number) => Promise<void>;
	violations: TestCluster['violations'];
	/** Worker of the first start that was sent. */
	firstTarget: () => ModelWorker;
	/** Submits job 1 of one unit. */
	submit: () => Promise<void>;
}>;

const createFixture = async (t: Test, runMs: number): Promise<Fixture> => {
	const cluster = createTestCluster(t, [newWorker('w1'), newWorker('w2')], () => ({runMs, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	const workers = [...cluster.workers.values()];
	const advance = async (lengthMs: number) => {
		await cluster.clock.tickAsync(lengthMs);
	};

	await advance(500);
	return {
		cluster,
		scheduler,
		workers,
		advance,
		violations: cluster.violations,
		firstTarget: () => workers.find(({calls}) => calls.some(({kind}) => kind === 'start'))!,
		submit: async () => submitStep(scheduler.jobs, 1, newStep({estimateMs: runMs})),
	};
};

/** Gives each worker the same outcomes of its next calls. */
const script = (workers: readonly ModelWorker[], kind: CallKind, outcomes: readonly CallOutcome[]) => {
	for (const {faults} of workers) {
		faults.script[kind] = [...outcomes];
	}
};

const release = (workers: readonly ModelWorker[]) => {
	for (const worker of workers) {
		worker.release();
	}
};

// Guards against a second run of a unit while the first one, whose response was lost, works on.
await t.test(
	'a unit whose start was carried out without a response runs once, though the repeat is refused',
	async (t) => {
		for (const outcomes of [
			['response-lost', 'refused'],
			['response-lost', 'refused', 'refused', 'refused'],
			['response-lost', 'dropped', 'refused'],
		] as const) {
			await t.test(outcomes.join(', '), async (t) => {
				const {scheduler, workers, advance, violations, submit} = await createFixture(t, 8000);
				script(workers, 'start', outcomes);
				await submit();
				await advance(25_000);
				t.same(violations, []);
				t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
			});
		}
	},
);

// Guards against a late start that is carried out after its repeat was refused and the unit has started elsewhere.
await t.test('a unit whose start is carried out late runs once, though the repeat was refused', async (t) => {
	for (const releaseMs of [300, 1000, 3000, 6000]) {
		await t.test(`after ${releaseMs} ms`, async (t) => {
			const {scheduler, workers, advance, violations, submit} = await createFixture(t, 8000);
			script(workers, 'start', ['delayed', 'refused']);
			await submit();
			await advance(releaseMs);
			release(workers);
			await advance(25_000);
			t.same(violations, []);
			t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
		});
	}
});

// Guards against a refused stop that counts as carried out, so that the unit moves while its late starts are outstanding.
await t.test('a unit runs once when its starts are late and its stop is refused, and the worker drains', async (t) => {
	for (const releaseMs of [1000, 3000, 6000]) {
		await t.test(`after ${releaseMs} ms`, async (t) => {
			const {cluster, scheduler, workers, advance, violations, firstTarget, submit} = await createFixture(t, 8000);
			script(workers, 'start', ['delayed', 'delayed', 'delayed']);
			script(workers, 'stop', ['refused']);
			await submit();
			await advance(200);
			const target = firstTarget();
			cluster.report({...target.worker, state: 'draining', remainingMs: 30_000});
			script(
				workers.filter((worker) => worker !== target),
				'start',
				[],
			);
			await advance(releaseMs - 200);
			target.release();
			await advance(25_000);
			t.same(violations, []);
			t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
		});
	}
});

// Guards against a start after the success of the unit, when the response to its start and the report of its end were lost.
await t.test('a unit that has succeeded does not start again when the repeat of its start is refused', async (t) => {
	for (const refusal of ['refused as an old run', 'refused as unhealthy'] as const) {
		await t.test(refusal, async (t) => {
			const {cluster, scheduler, workers, advance, violations, submit} = await createFixture(t, 100);
			script(workers, 'start', refusal === 'refused as unhealthy' ? ['response-lost', 'refused'] : ['response-lost']);
			for (const {faults} of workers) {
				faults.responseLossMs = 150;
				faults.lostLongPolls = 1;
			}

			await submit();
			await advance(8000);
			t.same(violations, []);
			t.equal(cluster.startsOf(unitOf(1)), 1);
			t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
			t.ok(
				workers.some(({acknowledged}) => acknowledged() === 1),
				'the success is acknowledged',
			);
		});
	}
});

// Guards against a run of a cancelled job that works on because its refused or lost stop counts as carried out.
await t.test('a stop is sent again until the worker has accepted it', async (t) => {
	for (const outcomes of [
		['refused'],
		['refused', 'refused', 'refused'],
		['dropped', 'refused', 'refused'],
		['response-lost', 'refused'],
	] as const) {
		await t.test(outcomes.join(', '), async (t) => {
			const {scheduler, workers, advance, submit} = await createFixture(t, 30_000);
			await submit();
			await advance(500);
			script(workers, 'stop', outcomes);
			await scheduler.jobs.cancel(addressOf(1));
			await advance(CANCEL_MS + BOUNDS.stopMs);
			t.same(
				workers.flatMap(({running}) => running()),
				[],
			);
			t.equal(await scheduler.jobs.state(addressOf(1)), 'cancelled');
		});
	}
});

// Guards against a run of no known job that works on until the next report because its stop was refused.
await t.test('the stop of an orphaned run is sent again until the worker has accepted it', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')], () => ({runMs: 30_000, how: 'done'}));
	const worker = cluster.workers.get('w1')!;
	const leaseUntilMs = worker.clockMs() + BOUNDS.maxLeaseMs;
	await worker.port().start({unit: unitOf(9), run: 1, spec: '', leaseUntilMs, token: 0, checkpoint: ''});
	script([worker], 'stop', ['refused', 'dropped', 'refused']);
	cluster.startInstance('one');
	await cluster.clock.tickAsync(RENEWAL_WAIT_MS);
	t.same(worker.running(), []);
});

// Guards against a start that is sent after its job was cancelled, because an earlier attempt got no response.
await t.test('a start is not repeated after its job was cancelled', async (t) => {
	const {scheduler, workers, advance, firstTarget, submit} = await createFixture(t, 8000);
	script(workers, 'start', ['dropped', 'dropped', 'dropped']);
	for (const {faults} of workers) {
		faults.responseLossMs = NO_RESPONSE_MS;
	}

	await submit();
	await advance(220);
	await scheduler.jobs.cancel(addressOf(1));
	const cancelledMs = performance.now();
	const starts = () => firstTarget().calls.filter(({kind}) => kind === 'start');
	t.equal(starts().length, 2, 'the second attempt waits for its response');
	await advance(5000);
	t.same(
		starts().filter(({atMs}) => atMs > cancelledMs + CHANGE_READ_MS),
		[],
	);
	t.same(
		workers.flatMap(({running}) => running()),
		[],
	);
});

// Guards against a start on a worker that drains, because an earlier attempt got no response.
await t.test('a start is not repeated after its worker began to drain', async (t) => {
	const {cluster, scheduler, workers, advance, violations, firstTarget, submit} = await createFixture(t, 2000);
	script(workers, 'start', ['dropped', 'dropped', 'dropped']);
	for (const {faults} of workers) {
		faults.responseLossMs = NO_RESPONSE_MS;
	}

	await submit();
	await advance(220);
	const target = firstTarget();
	cluster.report({...target.worker, state: 'draining', remainingMs: 30_000});
	script(
		workers.filter((worker) => worker !== target),
		'start',
		[],
	);
	const drainingMs = performance.now();
	const starts = () => target.calls.filter(({kind}) => kind === 'start');
	t.equal(starts().length, 2, 'the second attempt waits for its response');
	await advance(10_000);
	t.same(
		starts().filter(({atMs}) => atMs > drainingMs + CHANGE_READ_MS),
		[],
	);
	t.same(violations, []);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
});

// Guards against a call in a loop without a pause, and against a lease that is believed to be extended by refused renewals, so that the work never runs again.
await t.test(
	'the work of a worker that refuses all lease renewals is restarted after its lease has expired',
	async (t) => {
		const {cluster, scheduler, workers, advance, violations, submit} = await createFixture(t, 12_000);
		await submit();
		await advance(1000);
		const holder = workers.find(({running}) => running().length > 0)!;
		holder.faults.patterns.renewal = ['refused'];
		const sentBefore = holder.calls.length;
		await advance(5000);
		const renewals = holder.calls.slice(sentBefore).filter(({kind}) => kind === 'renewal');
		t.ok(renewals.length <= (2 * 5000) / WORKER_RETRY_MS, `${renewals.length} renewals in 5 s`);
		t.equal(cluster.startsOf(unitOf(1)), 1, 'the unit is not moved while its lease is valid');
		await advance(12_000);
		t.same(violations, []);
		t.equal(cluster.startsOf(unitOf(1)), 2, 'the unit is restarted');
		await advance(13_000);
		t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
	},
);

// Guards against work that is moved, or a lease that is left to expire, because a worker refused a few renewals.
await t.test('work goes on while its worker refuses some of its lease renewals', async (t) => {
	const {cluster, scheduler, workers, advance, submit} = await createFixture(t, 20_000);
	for (const {faults} of workers) {
		faults.patterns.renewal = ['refused', 'refused', 'refused', 'served'];
	}

	await submit();
	await advance(25_000);
	t.equal(cluster.startsOf(unitOf(1)), 1);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
});

// Guards against a unit that waits for a lease to expire though no attempt at its start can have been carried out.
await t.test('a start whose only attempt was refused is tried again at once', async (t) => {
	const {cluster, workers, advance, submit} = await createFixture(t, 5000);
	script(workers, 'start', ['refused']);
	await submit();
	await advance(1000 + BOUNDS.stopMs + STOP_SETTLE_MS);
	t.equal(cluster.startsOf(unitOf(1)), 1);
});

// Guards against a unit that waits for the next report, two seconds later, though its unanswered start is known to be void.
await t.test('a unit whose unanswered start was stopped starts again as soon as the stop is complete', async (t) => {
	const {cluster, workers, advance, violations, submit} = await createFixture(t, 5000);
	script(workers, 'start', ['dropped', 'dropped', 'dropped']);
	await submit();
	await advance(50);
	for (const {faults} of workers) {
		faults.script.start = [];
	}

	await advance(BOUNDS.stopMs + 4 * STOP_SETTLE_MS);
	t.equal(cluster.startsOf(unitOf(1)), 1);
	t.same(violations, []);
});

// Guards against a unit that never runs again because the worker of its unanswered start refuses every stop.
await t.test('a unit runs elsewhere when its starts have expired on a worker that refuses its stop', async (t) => {
	const {scheduler, workers, advance, violations, firstTarget, submit} = await createFixture(t, 3000);
	script(workers, 'start', ['delayed', 'delayed', 'delayed']);
	for (const {faults} of workers) {
		faults.patterns.stop = ['refused'];
	}

	await submit();
	await advance(100);
	const target = firstTarget();
	script(
		workers.filter((worker) => worker !== target),
		'start',
		[],
	);
	await advance(20_000);
	target.release();
	await advance(6000);
	t.same(violations, []);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'completed');
});
