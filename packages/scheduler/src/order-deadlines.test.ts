/** Pattern: an overloaded event loop. The leader reads late what workers have answered in time. */
import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {ServiceError} from '@bergamotgauge/model';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import t, {type Test} from 'tap';
import {MAX_ORDER_MS, ORDER_DEADLINES_MS} from './constants.js';
import type {OrderReply, SendOptions} from './types.js';
import {createOrderSender, type OrderResult} from './worker-orders.js';

const ACCEPTED: OrderReply = {outcome: 'accepted', clockMs: 0};

type Attempt = Readonly<{
	/** Writes the attempt to its connection. */
	write: () => boolean;
	/** Reads the response. */
	answer: () => void;
}>;

type Fixture = Readonly<{
	clock: Clock;
	attempts: readonly Attempt[];
	result: Promise<OrderResult>;
	/** Holds up the event loop: timers that are due meanwhile fire late, before anything that has arrived is read. */
	holdUp: (ms: number) => Promise<void>;
}>;

/** Sends a stop through a port whose connection and responses the test controls. */
const createFixture = (t: Test): Fixture => {
	const clock = FakeTimers.install({now: 1000});
	t.teardown(() => {
		clock.uninstall();
	});
	const attempts: Attempt[] = [];
	const send = async ({signal, maySend}: SendOptions) =>
		new Promise<OrderReply>((resolve, reject) => {
			let isSent = false;
			const fail = () => {
				reject(new ServiceError('no response', {code: 'worker-failed', verdict: isSent ? 'may-have-run' : 'not-run'}));
			};

			signal.addEventListener('abort', fail);
			attempts.push({
				write() {
					isSent = !signal.aborted && maySend();
					return isSent;
				},
				answer() {
					resolve(ACCEPTED);
				},
			});
		});

	const order = createOrderSender({
		workerId: 'w1',
		log: createSilentLog(),
		metrics: createMetrics(),
		now: () => performance.now(),
		mayOrder: () => true,
		observeReply() {
			// Clock readings are not checked.
		},
	});
	return {
		clock,
		attempts,
		result: order('stop', {unit: 'j.0.0.0', run: 1}, send),
		async holdUp(ms) {
			clock.jump(ms);
			await Promise.resolve();
		},
	};
};

// Guards against an order that is given up although its response has arrived: the event loop was held up past the
// deadline and runs due timers before it reads.
await t.test('a response that has arrived while the loop was held up counts', async (t) => {
	for (const heldUpMs of [300, 1000, 3000]) {
		const {attempts, result, holdUp, clock} = createFixture(t);
		t.ok(attempts[0]?.write());
		await holdUp(heldUpMs);
		attempts[0]!.answer();
		await clock.tickAsync(1);
		t.same(await result, {outcome: 'accepted', isUncertain: false}, `held up for ${heldUpMs} ms`);
		t.equal(attempts.length, 1);
		clock.uninstall();
	}
});

// Guards against an order whose time has passed before it has left: the leader opens hundreds of connections at a takeover.
await t.test('the deadline of a response begins when the order is written', async (t) => {
	const {attempts, result, clock} = createFixture(t);
	await clock.tickAsync(ORDER_DEADLINES_MS[0] - 20);
	t.ok(attempts[0]?.write());
	await clock.tickAsync(ORDER_DEADLINES_MS[0] - 20);
	attempts[0]!.answer();
	await clock.tickAsync(1);
	t.same(await result, {outcome: 'accepted', isUncertain: false});
	t.equal(attempts.length, 1);
});

// Guards against an order that is given up as its connection opens, since the loop was held up meanwhile.
await t.test('a connection that has opened while the loop was held up is used', async (t) => {
	const {attempts, result, holdUp, clock} = createFixture(t);
	await holdUp(500);
	t.ok(attempts[0]?.write(), 'it is not given up yet');
	await clock.tickAsync(10);
	attempts[0]!.answer();
	await clock.tickAsync(1);
	t.same(await result, {outcome: 'accepted', isUncertain: false});
});

// Guards against a worker without a connection that is asked for ever, or whose order counts as one that may have run.
await t.test('an order that is never written ends as unreachable', async (t) => {
	const {attempts, result, clock} = createFixture(t);
	await clock.tickAsync(ORDER_DEADLINES_MS.reduce((sum, deadlineMs) => sum + deadlineMs, 0) + 10);
	t.same(await result, {outcome: 'refused', reason: 'unreachable'});
	t.equal(attempts.length, ORDER_DEADLINES_MS.length);
	t.notOk(attempts.at(-1)!.write());
});

// Guards against a silent worker that keeps the other members of a gang waiting.
await t.test('an order without a response is still given up at its deadlines', async (t) => {
	const {attempts, result, clock} = createFixture(t);
	for (const [index, deadlineMs] of ORDER_DEADLINES_MS.entries()) {
		t.ok(attempts[index]?.write());
		await clock.tickAsync(deadlineMs + 1);
	}

	t.same(await result, {outcome: 'unknown', refusal: undefined});
});

// Guards against a bound on gangs that counts as kept although the other members may wait longer for the last attempt.
await t.test('the longest order waits for a connection and then for a response in each attempt', async (t) => {
	const {attempts, result, clock} = createFixture(t);
	const startedMs = performance.now();
	for (const [index, deadlineMs] of ORDER_DEADLINES_MS.entries()) {
		await clock.tickAsync(deadlineMs - 1);
		t.ok(attempts[index]?.write());
		await clock.tickAsync(deadlineMs + 1);
	}

	t.same(await result, {outcome: 'unknown', refusal: undefined});
	t.equal(performance.now() - startedMs, MAX_ORDER_MS);
});
