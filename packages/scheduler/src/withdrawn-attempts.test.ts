import {sleep} from '@bergamotgauge/lifecycle';
import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import {ServiceError} from '@bergamotgauge/model';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t, {type Test} from 'tap';
import {createClocks} from './clocks.js';
import {addressOf, BOUNDS, createTestCluster, newWorker, submitStep} from './test/cluster.js';
import {createModelWorker} from './test/model-worker.js';
import type {CallKind} from './test/model-worker-faults.js';
import type {OrderReply, SendOptions} from './types.js';
import {createWorkerLink} from './worker-link.js';
import type {WorkerLink} from './worker-link-types.js';
import {createOrderSender} from './worker-orders.js';

/** Time that each call waits for a connection; shorter than the deadline of the first attempt at an order. */
const CONNECTION_WAIT_MS = 150;

const now = () => performance.now();

const installClock = (t: Test) => {
	const clock = FakeTimers.install({now: 1_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	return clock;
};

/** Sends an order through a connection that each attempt waits for; `outcomes` are those of the attempts that are sent. */
const createSenderFixture = (t: Test, outcomes: ReadonlyArray<'accepted' | 'no-response'>) => {
	const clock = installClock(t);
	const holds = {term: true, order: true};
	const attempts: number[] = [];
	const sent: number[] = [];
	const metrics = createMetrics();
	const order = createOrderSender({
		workerId: 'w1',
		log: createSilentLog(),
		metrics,
		now,
		mayOrder: () => holds.term,
		observeReply() {
			// The tests check only the results.
		},
	});
	const send = async ({signal, maySend}: SendOptions): Promise<OrderReply> => {
		attempts.push(now());
		await sleep(CONNECTION_WAIT_MS, signal);
		if (signal.aborted || !maySend()) {
			// As when a paused term goes on: a further attempt would be sent.
			holds.term = true;
			holds.order = true;
			throw new ServiceError('not sent', {code: 'worker-failed', verdict: 'not-run'});
		}

		sent.push(now());
		const outcome = outcomes[sent.length - 1];
		await sleep(outcome === 'accepted' ? 10 : 10_000, signal);
		if (outcome !== 'accepted') {
			throw new ServiceError('no answer', {code: 'worker-failed', verdict: 'may-have-run'});
		}

		return {outcome: 'accepted', clockMs: undefined};
	};

	const result = order('start', {unit: 'j.0.0.0', run: 1}, send, () => holds.order);
	return {clock, holds, attempts, sent, result, metrics};
};

// Guards against a start of a cancelled job, or of an ended term, whose attempt waited for a connection meanwhile; and
// against a worker that counts as unreachable because of it.
await t.test('an attempt whose reason ends while it waits for a connection is withdrawn', async (t) => {
	for (const reason of ['term', 'order'] as const) {
		await t.test(reason, async (t) => {
			const {clock, holds, attempts, sent, result, metrics} = createSenderFixture(t, ['accepted']);
			await clock.tickAsync(CONNECTION_WAIT_MS - 1);
			holds[reason] = false;
			await clock.tickAsync(5000);
			t.same(await result, {outcome: 'refused', reason: 'withdrawn'});
			t.same(sent, []);
			t.equal(attempts.length, 1);
			t.match(metrics.render(), /worker_order_attempts_total\{[^\}]*outcome="withdrawn"[^\}]*\} 1/v);
		});
	}
});

// Guards against a unit that is started elsewhere although an earlier attempt may still be carried out.
await t.test('an order stays unknown when an attempt without a response is followed by a withdrawn one', async (t) => {
	const {clock, holds, attempts, sent, result} = createSenderFixture(t, ['no-response', 'accepted']);
	// The deadline of the first attempt counts from the moment at which it is sent.
	await clock.tickAsync(CONNECTION_WAIT_MS + 210);
	t.equal(attempts.length, 2, 'the second attempt waits for a connection');
	holds.order = false;
	await clock.tickAsync(5000);
	t.same(await result, {outcome: 'unknown', refusal: undefined});
	t.equal(sent.length, 1);
	t.equal(attempts.length, 2);
});

// Guards against the loss of the response to an attempt that was sent before its reason ended.
await t.test('an attempt that was sent keeps waiting for its response when its reason ends', async (t) => {
	const {clock, holds, result} = createSenderFixture(t, ['accepted']);
	await clock.tickAsync(CONNECTION_WAIT_MS + 1);
	holds.term = false;
	holds.order = false;
	await clock.tickAsync(5000);
	t.same(await result, {outcome: 'accepted', isUncertain: false});
});

const createLinkFixture = (t: Test) => {
	const clock = installClock(t);
	const worker = newWorker('w1');
	const model = createModelWorker(worker, () => ({runMs: 60_000, how: 'done'}));
	const term = {isValid: true};
	const ignore = () => {
		// The tests check only the calls that are sent.
	};

	const link = createWorkerLink({
		context: {connectWorker: model.port, log: createSilentLog(), metrics: createMetrics(), bounds: BOUNDS},
		worker,
		token: 1,
		clocks: createClocks(),
		earlierLeasesEndMs: 0,
		mayOrder: () => term.isValid,
		events: {
			onReport: ignore,
			onProgress: ignore,
			async onEnds() {
				ignore();
			},
			onGone: ignore,
			onStaleToken: ignore,
			renewalWaitMs: () => 500,
			hasWork: () => true,
			onSilent() {
				// No start is late.
			},
		},
	});
	const controller = new AbortController();
	const running = link.run(controller.signal);
	t.teardown(async () => {
		controller.abort();
		await clock.tickAsync(20_000);
		await running;
		model.crash();
	});
	return {clock, model, term, link};
};

const TARGET = {unit: 'j.0.0.0', run: 1};
const CALLS: ReadonlyArray<readonly [CallKind, (link: WorkerLink) => Promise<unknown>]> = [
	['start', async (link) => link.start({...TARGET, spec: '', checkpoint: '', ticket: undefined}, () => true)],
	['stop', async (link) => link.stop(TARGET.unit, TARGET.run)],
	['throttle', async (link) => link.throttle({...TARGET, percent: 50}, () => true)],
	['renewal', async (link) => link.pollProgress()],
];

// Guards against orders, polls and lease renewals of a term that ended while they waited for a connection.
await t.test('no call that waits for a connection is sent after the end of the term', async (t) => {
	for (const [kind, call] of CALLS) {
		await t.test(kind, async (t) => {
			const {clock, model, term, link} = createLinkFixture(t);
			await clock.tickAsync(100);
			t.equal(link.state(), 'synced');
			model.faults.connectionWaitMs = CONNECTION_WAIT_MS;
			const sentBefore = model.calls.filter((sent) => sent.kind === kind).length;
			const called = call(link);
			await clock.tickAsync(CONNECTION_WAIT_MS - 10);
			term.isValid = false;
			await clock.tickAsync(5000);
			await called;
			t.equal(model.calls.filter((sent) => sent.kind === kind).length, sentBefore);
		});
	}
});

// Guards against a lease renewal that is sent after the end of the term, and against a worker that counts as silent
// because its renewal was not sent, so that its lease expires when the term goes on.
await t.test('a lease renewal that is withdrawn says nothing about its worker', async (t) => {
	const {clock, model, term, link} = createLinkFixture(t);
	await clock.tickAsync(100);
	model.faults.connectionWaitMs = CONNECTION_WAIT_MS;
	// The long poll of the renewal before has ended, and the next one waits for a connection.
	await clock.tickAsync(500);
	const sentBefore = model.calls.length;
	term.isValid = false;
	await clock.tickAsync(1000);
	t.equal(model.calls.length, sentBefore);
	t.equal(link.state(), 'synced');
	term.isValid = true;
	await clock.tickAsync(1000);
	t.ok(model.calls.length > sentBefore, 'renewals continue with the term');
	t.equal(link.state(), 'synced');
});

// Guards against a start that leaves the queue after the leader has learned of the cancellation of its job.
await t.test('a start that waits for a connection is not sent after the cancellation of its job', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')], () => ({runMs: 30_000, how: 'done'}));
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	const worker = cluster.workers.get('w1')!;
	worker.faults.connectionWaitMs = CONNECTION_WAIT_MS;
	await submitStep(scheduler.jobs, 1, newStep());
	await cluster.clock.tickAsync(60);
	await scheduler.jobs.cancel(addressOf(1));
	await cluster.clock.tickAsync(5000);
	t.same(
		worker.calls.filter(({kind}) => kind === 'start'),
		[],
	);
	t.equal(await scheduler.jobs.state(addressOf(1)), 'cancelled');
	worker.faults.connectionWaitMs = 0;
	await submitStep(scheduler.jobs, 2, newStep());
	await cluster.clock.tickAsync(500);
	t.equal(worker.running().length, 1, 'the worker gets the next job at once');
});

// Guards against a start on a worker that has begun to drain while the start waited for a connection.
await t.test('a start that waits for a connection is not sent after its worker began to drain', async (t) => {
	const {clock, model, link} = createLinkFixture(t);
	await clock.tickAsync(100);
	model.faults.connectionWaitMs = CONNECTION_WAIT_MS;
	const result = link.start({...TARGET, spec: '', checkpoint: '', ticket: undefined}, () => true);
	await clock.tickAsync(CONNECTION_WAIT_MS - 10);
	link.worker = {...link.worker, state: 'draining'};
	await clock.tickAsync(1000);
	t.same(await result, {outcome: 'refused', reason: 'withdrawn'});
	t.notOk(model.calls.some(({kind}) => kind === 'start'));
});
