import {ServiceError, type ErrorCode, type Verdict} from '@bergamotgauge/model';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {MAX_RELAYED, RELAY_AFTER_MS} from './constants.js';
import type {PeerProbes} from './peer-probes.js';
import {createRelay} from './relay.js';
import type {CallerCall, RelayedCall} from './types.js';

type PeerReply = (request: RelayedCall) => Promise<unknown>;

const CALL: CallerCall = {method: 'POST', host: 'h', path: '/q/1', authorization: 'Bearer k', body: {spec: ''}};

const failure = (code: ErrorCode, verdict: Verdict, status?: number) =>
	new ServiceError(code, {code, verdict, retryAfterMs: 1000, ...(status !== undefined && {status})});

const ignore = () => {
	// The fake has nothing to do.
};

const never = async () => new Promise<never>(() => {});

/** A relay with peers that serve and answer as given. */
const createFixture = (replies: Record<string, PeerReply>) => {
	const asked: string[] = [];
	const state = {isStoreInDoubt: false, isStale: false, revision: 5, seen: 5};
	const probes: PeerProbes = {
		async find(excluded) {
			const id = Object.keys(replies).find((key) => !excluded.has(key));
			return id === undefined
				? undefined
				: {
						record: {id, address: id, availabilityZone: 'a', cores: 1},
						link: {
							address: id,
							async call(_method, body) {
								asked.push(id);
								return replies[id]!(body as RelayedCall);
							},
							notify: ignore,
							reset: ignore,
						},
					};
		},
		markFailed: ignore,
		close: ignore,
	};
	const relay = createRelay({
		probes,
		isStoreInDoubt: () => state.isStoreInDoubt,
		currentRevision: () => (state.isStale ? undefined : state.revision),
		seenRevision: {
			get: () => state.seen,
			raise(revision) {
				state.seen = Math.max(state.seen, revision);
			},
		},
		log: createSilentLog(),
		metrics: createMetrics(),
		now: () => Date.now(),
	});
	const answer = async (local: () => Promise<unknown>, call = CALL, signal = new AbortController().signal) =>
		relay.answer(call, local, {signal});
	return {relay, state, asked, answer};
};

const accept: PeerReply = async () => ({body: {}, revision: 5});

const refuseLocally = async () => {
	throw failure('store-unavailable', 'not-run');
};

// Guards against a hop for each request of an instance that is served by the store.
await t.test('an instance with the store answers itself, and a refusal of its own is final', async (t) => {
	const {answer, asked} = createFixture({peer: accept});
	t.same(await answer(async () => ({state: 'active'})), {state: 'active'});
	await t.rejects(
		answer(async () => {
			throw failure('unauthenticated', 'not-run');
		}),
		{code: 'unauthenticated'},
	);
	t.same(asked, []);
});

// Guards against callers that are refused, or judged by a stale configuration, while peers have the store.
await t.test('a request is relayed when the store refuses it, is in doubt, or the configuration is old', async (t) => {
	const {answer, asked, state} = createFixture({peer: accept});
	t.same(await answer(refuseLocally), {});
	state.isStoreInDoubt = true;
	t.same(await answer(never), {});
	state.isStoreInDoubt = false;
	state.isStale = true;
	t.same(await answer(never), {});
	t.equal(asked.length, 3);
});

// Guards against a caller that waits for a store call without a response although a peer could answer.
await t.test('a request that gets no response from the store is also relayed', async (t) => {
	const clock = FakeTimers.install({now: 1_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	const {answer, state} = createFixture({peer: accept});
	const answered = answer(never);
	await clock.tickAsync(RELAY_AFTER_MS / 2);
	state.isStoreInDoubt = true;
	await clock.tickAsync(RELAY_AFTER_MS / 2);
	t.same(await answered, {});
});

// Guards against a second hop or a lost request when the first peer has just lost the store.
await t.test('a request that a peer did not run goes to the next one', async (t) => {
	const {answer, asked} = createFixture({
		async turnedAway() {
			throw failure('store-unavailable', 'not-run');
		},
		peer: accept,
	});
	t.same(await answer(refuseLocally), {});
	t.same(asked, ['turnedAway', 'peer']);
});

// Guards against a refusal, which says that the job never runs, after an attempt that may have stored it.
await t.test('after an attempt that may have run, no later refusal is passed on', async (t) => {
	const breaks: PeerReply = async () => {
		throw failure('peer-unavailable', 'may-have-run');
	};

	const refuses: PeerReply = async () => {
		throw failure('overloaded', 'not-run');
	};

	const unknown = {code: 'deadline-exceeded', verdict: 'may-have-run', status: 504};
	await t.test('by a peer', async (t) => {
		await t.rejects(createFixture({breaks, refuses}).answer(refuseLocally), unknown);
	});
	await t.test('by this instance', async (t) => {
		await t.rejects(createFixture({breaks}).answer(refuseLocally), unknown);
	});
	await t.test('after an own attempt', async (t) => {
		const {answer} = createFixture({refuses});
		await t.rejects(
			answer(async () => {
				throw failure('store-unavailable', 'may-have-run');
			}),
			unknown,
		);
	});
	await t.test('but an answer that rests on what is stored holds', async (t) => {
		const conflicts: PeerReply = async () => {
			throw failure('conflict', 'not-run');
		};

		await t.rejects(createFixture({breaks, conflicts}).answer(refuseLocally), {code: 'conflict', status: 409});
		const gone: PeerReply = async () => {
			throw failure('not-found', 'not-run', 410);
		};

		const {answer} = createFixture({breaks, gone});
		await t.rejects(answer(refuseLocally, {...CALL, method: 'DELETE'}), {code: 'not-found', status: 410});
	});
	await t.test('and a refusal by a peer holds when nothing else may have run', async (t) => {
		await t.rejects(createFixture({refuses}).answer(refuseLocally), {code: 'overloaded', retryAfterMs: 1000});
	});
});

// Guards against callers that are held, or told another reason, when no peer has the store.
await t.test('without a peer, the caller gets the refusal of this instance', async (t) => {
	const {answer} = createFixture({});
	await t.rejects(answer(refuseLocally), {code: 'store-unavailable', verdict: 'not-run', retryAfterMs: 1000});
	const {answer: answerBeside} = createFixture({
		async lost() {
			throw failure('peer-unavailable', 'not-run');
		},
	});
	await t.rejects(answerBeside(refuseLocally), {code: 'store-unavailable', verdict: 'not-run', retryAfterMs: 1000});
});

// Guards against memory that grows with the requests of callers while peers are slow.
await t.test('the number of relayed requests is bounded', async (t) => {
	const {answer, asked} = createFixture({slow: never});
	for (let index = 0; index < MAX_RELAYED; index += 1) {
		void answer(refuseLocally);
	}

	await t.rejects(answer(refuseLocally), {code: 'store-unavailable', verdict: 'not-run'});
	t.equal(asked.length, MAX_RELAYED);
});

// Guards against a caller that sees an older configuration after a newer one.
await t.test('an instance does not answer before it has the configuration that a peer has used', async (t) => {
	const {answer, relay, state} = createFixture({
		async peer({minRevision}) {
			return {body: {}, revision: minRevision + 2};
		},
	});
	await answer(refuseLocally);
	t.equal(relay.isServing(), false);
	state.revision = 7;
	t.equal(relay.isServing(), true);
});

// Guards against attempts for a caller that has left.
await t.test('a request whose caller has left is not sent to another peer', async (t) => {
	const controller = new AbortController();
	const {answer, asked} = createFixture({
		async breaks() {
			controller.abort();
			throw failure('peer-unavailable', 'may-have-run');
		},
		peer: accept,
	});
	await t.rejects(answer(refuseLocally, CALL, controller.signal), {code: 'deadline-exceeded', verdict: 'may-have-run'});
	t.same(asked, ['breaks']);
});
