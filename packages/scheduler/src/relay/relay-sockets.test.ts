import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {createLifecycle, sleep} from '@bergamotgauge/lifecycle';
import {ServiceError} from '@bergamotgauge/model';
import {createPeerLink, startPeerServer} from '@bergamotgauge/peer';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import t, {type Test} from 'tap';
import {createStoreHealth} from '../store-health.js';
import {createMemoryKeyValue, type MemoryKeyValue} from '../test/memory-key-value.js';
import {INSTANCES_PREFIX} from './peer-directory.js';
import {startRelay} from './start-relay.js';
import type {CallerCall} from './types.js';

const CALL: CallerCall = {method: 'GET', host: 'h', path: '/q/1', authorization: 'Bearer k', body: undefined};

const turnedAway = async () => {
	throw new ServiceError('the store refuses', {code: 'store-unavailable', verdict: 'not-run', retryAfterMs: 1000});
};

/** Starts the relay of an instance on a store that all share. */
const startInstance = async (
	t: Test,
	store: MemoryKeyValue,
	id: string,
	answer: (call: CallerCall) => Promise<unknown>,
) => {
	const lifecycle = createLifecycle(id, () => {});
	t.teardown(async () => lifecycle.close());
	const health = createStoreHealth();
	const state = {isStale: false};
	const relay = await startRelay({
		own: {id, address: '127.0.0.1:0', availabilityZone: 'a', cores: 1},
		store,
		health,
		configurationRevision: () => 1,
		isStale: () => state.isStale,
		isDraining: () => false,
		answer,
		lifecycle,
		log: createSilentLog(),
		metrics: createMetrics(),
	});
	const ask = async (call = CALL) =>
		relay!.answer(call, async () => answer(call), {signal: new AbortController().signal});
	return {health, state, ask};
};

const waitForRecords = async (store: MemoryKeyValue, count: number) => {
	while (store.items().filter(({key}) => key.startsWith(INSTANCES_PREFIX)).length < count) {
		await sleep(5);
	}
};

/** An address on which connections are handled as given. */
const listen = async (t: Test, handle: (socket: Socket) => void): Promise<string> => {
	const sockets = new Set<Socket>();
	const server = createServer((socket) => {
		sockets.add(socket);
		socket.on('error', () => {});
		handle(socket);
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const putRecord = (store: MemoryKeyValue, id: string, address: string) => {
	store.put(INSTANCES_PREFIX + id, Buffer.from(JSON.stringify({address, availabilityZone: 'a', cores: 100})));
};

// Guards against callers of an instance that the store turns away, who are refused while a peer is served.
await t.test('a peer that the store serves answers, with its errors and their statuses', async (t) => {
	const store = createMemoryKeyValue();
	const seen: CallerCall[] = [];
	await startInstance(t, store, 'served', async (call) => {
		seen.push(call);
		if (call.path === '/q/2') {
			throw new ServiceError('there is no job 2', {code: 'not-found', verdict: 'not-run', status: 410});
		}

		return {state: 'active'};
	});
	await waitForRecords(store, 1);
	const {ask, state} = await startInstance(t, store, 'cut', turnedAway);
	await waitForRecords(store, 2);
	await sleep(20);
	t.same(await ask(), {state: 'active'});
	t.match(seen, [CALL], 'method, host, path and key pass unchanged');
	state.isStale = true;
	await t.rejects(ask({...CALL, path: '/q/2'}), {code: 'not-found', status: 410});
});

// Guards against requests that go from one instance without the store to another.
await t.test('a peer that is not served refuses, and nothing is relayed on', async (t) => {
	const store = createMemoryKeyValue();
	let calls = 0;
	const other = await startInstance(t, store, 'other', async () => {
		calls += 1;
		return turnedAway();
	});
	other.health.recordFailure();
	await waitForRecords(store, 1);
	const {ask} = await startInstance(t, store, 'cut', turnedAway);
	await waitForRecords(store, 2);
	await sleep(20);
	await t.rejects(ask(), {code: 'store-unavailable', verdict: 'not-run', retryAfterMs: 1000});
	t.equal(calls, 0);
});

// Guards against requests that wait for a peer that is gone or says nothing, while another one would answer.
await t.test(
	'a peer that resets, one that is silent and one that is gone do not keep others from answering',
	async (t) => {
		const store = createMemoryKeyValue();
		putRecord(
			store,
			'resets',
			await listen(t, (socket) => {
				socket.resetAndDestroy();
			}),
		);
		putRecord(store, 'silent', await listen(t, () => {}));
		putRecord(store, 'gone', '127.0.0.1:1');
		await startInstance(t, store, 'served', async () => ({state: 'active'}));
		await waitForRecords(store, 4);
		const {ask} = await startInstance(t, store, 'cut', turnedAway);
		await waitForRecords(store, 5);
		await sleep(20);
		t.same(await ask(), {state: 'active'});
	},
);

// Guards against a refusal, which says that the job never runs, when the peer ends with the request in its hands.
await t.test(
	'a submission whose peer ends after it was sent is repeated elsewhere, or its outcome is unknown',
	async (t) => {
		const store = createMemoryKeyValue();
		const startEndingPeer = async (id: string) => {
			const lifecycle = createLifecycle(id, () => {});
			const address = await startPeerServer({
				host: '127.0.0.1',
				port: 0,
				handlers: {
					events: {},
					requests: {
						status: () => ({isServing: true, revision: 1}),
						async relay() {
							await lifecycle.close();
						},
					},
				},
				lifecycle,
				log: createSilentLog(),
			});
			putRecord(store, id, address);
		};

		await startEndingPeer('ends-1');
		const {ask} = await startInstance(t, store, 'cut', turnedAway);
		await waitForRecords(store, 2);
		await sleep(20);
		const submission = {...CALL, method: 'POST'};
		await t.rejects(ask(submission), {code: 'deadline-exceeded', verdict: 'may-have-run', status: 504});
		await startEndingPeer('ends-2');
		await startInstance(t, store, 'served', async () => ({}));
		const other = await startInstance(t, store, 'cut-too', turnedAway);
		await waitForRecords(store, 5);
		await sleep(20);
		t.same(await other.ask(submission), {});
	},
);

// Guards against a peer that ends on bytes that are no frames, or answers requests without their fields.
await t.test('malformed requests of a peer do no harm', async (t) => {
	const store = createMemoryKeyValue();
	let calls = 0;
	await startInstance(t, store, 'served', async () => {
		calls += 1;
		return {};
	});
	await waitForRecords(store, 1);
	const record = JSON.parse(Buffer.from(store.items()[0]!.value).toString('utf8')) as {address: string};
	const link = createPeerLink(record.address);
	t.teardown(() => {
		link.reset('the test ends');
	});
	await t.rejects(link.call('relay', {call: {method: 'GET'}, minRevision: 0}), {
		code: 'bad-request',
		verdict: 'not-run',
	});
	await t.rejects(link.call('relay', {call: CALL, minRevision: 2}), {code: 'peer-unavailable', verdict: 'not-run'});
	t.equal(calls, 0);
});
