import {Buffer} from 'node:buffer';
import {createLifecycle, sleep} from '@bergamotgauge/lifecycle';
import {ServiceError} from '@bergamotgauge/model';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t, {type Test} from 'tap';
import {createClocks} from './clocks.js';
import {PLAN_DELAY_MS, PLAN_INTERVAL_MS} from './constants.js';
import {LEADER_KEY, ROSTER_KEY} from './keys.js';
import {createLeaderState} from './leader-state.js';
import {DEFAULT_POLICY} from './policy.js';
import {BOUNDS, DECLARATIONS, newWorker} from './test/cluster.js';
import {createMemoryKeyValue} from './test/memory-key-value.js';
import type {Worker, WorkerPort, WorkerReport} from './types.js';
import {createWaker} from './waker.js';
import {createWorkerFleet} from './worker-fleet.js';

type ReportReply = 'silent' | 'unreachable' | 'other-life' | 'idle';

const WORKER_PREFIX = 'workers/';

const reply = async (kind: ReportReply, signal: AbortSignal | undefined): Promise<WorkerReport> => {
	switch (kind) {
		case 'silent': {
			return new Promise((_resolve, reject) => {
				signal?.addEventListener('abort', () => {
					reject(new ServiceError('no answer', {code: 'worker-failed', verdict: 'may-have-run'}));
				});
			});
		}

		case 'unreachable': {
			throw new ServiceError('the connection was refused', {code: 'worker-failed', verdict: 'not-run'});
		}

		case 'other-life': {
			return {outcome: 'refused', reason: 'other-life'};
		}

		case 'idle': {
			return {outcome: 'accepted', clockMs: 1, running: [], ended: []};
		}
	}
};

/** Creates a fleet whose workers reply to lease renewals as given, with a plan loop that reopens links. */
const createFixture = async (
	t: Test,
	replies: Readonly<Record<string, ReportReply>>,
	roster: readonly unknown[] = [],
) => {
	const clock = FakeTimers.install({now: 1_000_000});
	const store = createMemoryKeyValue();
	store.put(LEADER_KEY, new Uint8Array(1));
	store.put(ROSTER_KEY, Buffer.from(JSON.stringify(roster)));
	const leader = await store.get(LEADER_KEY);
	const lifecycle = createLifecycle('term');
	t.teardown(async () => {
		const closed = lifecycle.close();
		await clock.tickAsync(10_000);
		await closed;
		clock.uninstall();
	});
	const waker = createWaker();
	const calls = new Map<string, number>();
	const unused = async () => {
		throw new Error('not used by fleets');
	};

	const connectWorker = ({id}: Worker): WorkerPort => ({
		start: unused,
		stop: unused,
		throttle: unused,
		async renewLease(_order, {signal}) {
			calls.set(id, (calls.get(id) ?? 0) + 1);
			return reply(replies[id]!, signal);
		},
		close() {
			// The stub has no connections.
		},
	});
	const fleet = createWorkerFleet({
		context: {
			instanceId: 'one',
			cores: 1,
			store,
			maxValueBytes: store.faults.valueBytes,
			bounds: BOUNDS,
			log: createSilentLog(),
			metrics: createMetrics(),
			declarations: () => DECLARATIONS,
			policy: DEFAULT_POLICY,
			advice: undefined,
			machines: undefined,
			waves: {
				prefix: 'waves/',
				decode: () => undefined,
				stateKey: String,
				encodeState: () => new Uint8Array(0),
				decodeState: () => undefined,
			},
			evacuations: {prefix: 'evacuations/', zoneOf: () => undefined},
			connectWorker,
			decodeWorker: (_key, value) => JSON.parse(Buffer.from(value).toString()) as Worker,
			workerPrefix: WORKER_PREFIX,
		},
		term: {
			number: 2,
			leaderRevision: leader!.revision,
			isValid: () => true,
			abandon(reason) {
				t.fail(reason);
			},
			signal: lifecycle.signal,
		},
		state: createLeaderState(DEFAULT_POLICY),
		lifecycle,
		clocks: createClocks(),
		onReport() {
			// The stubs run no units.
		},
		onProgress() {
			// The stubs run no units.
		},
		async onEnds() {
			// The stubs run no units.
		},
		onOpened() {
			// No orders are sent.
		},
		onGone() {
			// The stubs run no units.
		},
		onChanged: waker.wake,
	});
	await fleet.openRoster();
	lifecycle.run('plan', async (signal) => {
		while (!signal.aborted) {
			fleet.reopen();
			await waker.wait(signal, PLAN_INTERVAL_MS);
			await sleep(PLAN_DELAY_MS, signal);
		}
	});
	for (const id of Object.keys(replies)) {
		store.put(WORKER_PREFIX + id, Buffer.from(JSON.stringify(newWorker(id))));
	}

	fleet.applyDirectoryChanges(await store.list(WORKER_PREFIX));
	return {clock, store, fleet, calls};
};

// Guards against a call, on a new connection, every few milliseconds for as long as the store lists a worker that has ended.
await t.test('a worker that has restarted under another id is not called again', async (t) => {
	const {clock, calls} = await createFixture(t, {w1: 'other-life'});
	await clock.tickAsync(3000);
	t.equal(calls.get('w1'), 1);
});

await t.test('a listed worker that refuses connections is called with a pause', async (t) => {
	const {clock, calls} = await createFixture(t, {w1: 'unreachable'});
	await clock.tickAsync(BOUNDS.maxLeaseMs + 1000);
	calls.clear();
	await clock.tickAsync(3000);
	t.ok(calls.get('w1')! <= 6, `${calls.get('w1')} calls in 3 s`);
	t.ok(calls.get('w1')! >= 2, 'it is still called');
});

// Guards against a new leader that delays all pending work because a write of the roster has failed.
await t.test('a failed write of the roster does not lose what a silent worker may run', async (t) => {
	const {clock, store, fleet} = await createFixture(t, {w1: 'silent', w2: 'idle'}, [
		{worker: newWorker('w1'), partIds: ['a']},
	]);
	await clock.tickAsync(100);
	t.equal(fleet.mayRunPart('a'), true);
	t.equal(fleet.mayRunPart('b'), false);
	t.equal(fleet.isRosterStale(), true, 'w2 is not in the roster');
	store.faults.isDown = true;
	await t.rejects(fleet.storeRoster());
	store.faults.isDown = false;
	t.equal(fleet.mayRunPart('a'), true);
	t.equal(fleet.mayRunPart('b'), false);
	t.equal(fleet.isOrderable('w2'), false, 'orders wait for the roster');
	await fleet.storeRoster();
	t.equal(fleet.isOrderable('w2'), true);
	t.equal(fleet.mayRunPart('b'), false);
	const stored = await store.get(ROSTER_KEY);
	t.match(JSON.parse(Buffer.from(stored!.value).toString()), [
		{worker: {id: 'w1'}, partIds: ['a']},
		{worker: {id: 'w2'}},
	]);
});
