import {sleep} from '@bergamotgauge/lifecycle';
import {startStore, type StoreStandIn} from '@bergamotgauge/standins';
import {createMetrics} from '@bergamotgauge/telemetry';
import t, {type Test} from 'tap';
import {createGroupCommit, createOperationHistory, createStoreClient, type Entry, type Store} from './index.js';

const start = async (t: Test): Promise<Readonly<{standIn: StoreStandIn; store: Store; other: Store}>> => {
	const standIn = await startStore();
	t.teardown(async () => standIn.close());
	const client = () =>
		createStoreClient({
			url: `http://${standIn.address}`,
			metrics: createMetrics(),
			deadlineMs: 200,
			history: createOperationHistory(),
		});
	return {standIn, store: client(), other: client()};
};

const ignore = () => {};

const valueOf = async (store: Store, key: string): Promise<unknown> => {
	const {value} = await store.get(key);
	return value;
};

/** Runs `work` while a fault is injected and clears the fault after `ms`. */
const withFault = async <Result>(
	{faults}: StoreStandIn,
	fault: 'outage' | 'loseAnswers' | 'loseRequests' | 'silent',
	ms: number,
	work: () => Promise<Result>,
): Promise<Result> => {
	faults[fault] = true;
	setTimeout(() => {
		faults[fault] = false;
	}, ms);
	return work();
};

// Guards against a write that is reported as unknown, or applied twice, when only its response was lost.
await t.test('a write whose response is lost is resolved as applied and takes effect once', async (t) => {
	const {standIn, store} = await start(t);
	const result = await withFault(standIn, 'loseAnswers', 10, async () => store.put('k', 1, 0));
	t.match(result, {outcome: 'applied', revision: 1});
	t.match(await store.get('k'), {revision: 1, value: 1});
});

// Guards against the outcome `unknown` for a write that was never applied and can be retried safely.
await t.test('a write whose request is lost is retried as the identical compare-and-swap', async (t) => {
	const {standIn, store} = await start(t);
	const result = await withFault(standIn, 'loseRequests', 10, async () => store.put('k', 1, 0));
	t.match(result, {outcome: 'applied', revision: 1});
});

// Guards against a write with a lost response that is reported as not applied, or with a later revision, after another writer has overwritten it.
await t.test('a write with a lost response that was overwritten is resolved with its own revision', async (t) => {
	const {standIn, store, other} = await start(t);
	standIn.faults.loseAnswers = true;
	const lost = store.put('k', 'first', 0);
	while ((standIn.calls.put ?? 0) === 0) {
		await sleep(1);
	}

	standIn.faults.loseAnswers = false;
	await other.get('k');
	t.match(await other.put('k', 'second', 1), {outcome: 'applied', revision: 2});
	t.match(await lost, {outcome: 'applied', revision: 1});
});

// Guards against an overwrite by a writer that was paused while another writer changed the key.
await t.test('a write based on a stale revision conflicts', async (t) => {
	const {store, other} = await start(t);
	await store.put('k', 1, 0);
	await other.put('k', 2, 1);
	t.match(await store.put('k', 3, 1), {outcome: 'conflict', current: {revision: 2, value: 2}});
	t.match(await store.put('k', 3, 0), {outcome: 'conflict', current: {revision: 2, value: 2}});
});

// Guards against a repeated creation that restores a removed key.
await t.test('a removed key keeps its revision', async (t) => {
	const {store, other} = await start(t);
	await store.put('k', 1, 0);
	t.match(await other.remove('k', 1), {outcome: 'applied', revision: 2});
	t.match(await store.get('k'), {revision: 2, value: undefined});
	t.match(await store.put('k', 1, 0), {outcome: 'conflict'});
});

// Guards against callers that wait for their deadline during a long outage, and against a write that serves as the probe after it.
await t.test('during an outage the circuit breaker rejects writes as not-run without a call', async (t) => {
	const {standIn, store} = await start(t);
	standIn.faults.outage = true;
	for (let index = 0; index < 3; index += 1) {
		await t.rejects(store.get('k'), {code: 'store-unavailable'});
	}

	const putsBefore = standIn.calls.put ?? 0;
	const startedMs = Date.now();
	await t.rejects(store.put('k', 1, 0), {code: 'store-unavailable', verdict: 'not-run'});
	t.ok(Date.now() - startedMs < 100, 'the rejection is immediate');
	t.equal(standIn.calls.put ?? 0, putsBefore);
	standIn.faults.outage = false;
	await sleep(600);
	t.match(await store.put('k', 1, 0), {outcome: 'applied'});
});

// Guards against retries that multiply the load on a failing store.
await t.test('retries stay within the budget', async (t) => {
	const {standIn, store} = await start(t);
	standIn.faults.loseRequests = true;
	const results = await Promise.allSettled(Array.from({length: 20}, async (_, index) => store.put(`k${index}`, 1, 0)));
	t.ok(results.every((result) => result.status === 'rejected' || result.value.outcome === 'unknown'));
	t.ok((standIn.calls.get ?? 0) <= 11, `${standIn.calls.get} reads`);
});

// Guards against a read that hangs indefinitely on an unresponsive connection.
await t.test('a read from an unresponsive store fails at its deadline', async (t) => {
	const {standIn, store} = await start(t);
	standIn.faults.silent = true;
	await t.rejects(store.get('k'), {code: 'store-unavailable'});
});

// Guards against one oversized record that fails the whole batch.
await t.test('a group commit rejects only the changes that do not fit', async (t) => {
	const {standIn, store} = await start(t);
	const commit = createGroupCommit<readonly string[]>({
		store,
		key: 'jobs/00',
		empty: [],
		known: () => ({key: 'jobs/00', revision: 0, value: undefined}),
		onWritten: ignore,
	});
	const add = async (text: string) => commit.submit((value) => ({value: [...value, text], result: text.length}));
	const first = add('first');
	const batch = ['a', 'b', 'x'.repeat(2_000_000), 'c', 'd'].map(async (text) => add(text));
	await first;
	const results = await Promise.allSettled(batch);
	t.same(
		results.map(({status}) => status),
		['fulfilled', 'fulfilled', 'rejected', 'fulfilled', 'fulfilled'],
	);
	t.match(results[2], {reason: {code: 'too-large', verdict: 'not-run'}});
	t.match(await valueOf(store, 'jobs/00'), ['first', 'a', 'b', 'c', 'd']);
	t.ok((standIn.calls.put ?? 0) <= 3);
});

// Guards against a change that is written twice, or reported as failed, when the response to a group write is lost.
await t.test('a group commit applies a change once when the response is lost', async (t) => {
	const {standIn, store} = await start(t);
	const commit = createGroupCommit<number>({
		store,
		key: 'k',
		empty: 0,
		known: () => ({key: 'k', revision: 0, value: undefined}),
		onWritten: ignore,
	});
	const increment = async () => commit.submit((value) => ({value: value + 1, result: value + 1}));
	t.equal(await withFault(standIn, 'loseAnswers', 10, increment), 1);
	t.equal(await increment(), 2);
	t.equal(await valueOf(store, 'k'), 2);
});

// Guards against submissions rejected because of contention when all instances submit jobs to one shard at the same time.
await t.test('nine concurrent writers of one key all get their changes stored', async (t) => {
	const {standIn} = await start(t);
	standIn.faults.latencyMs = 5;
	const writers = Array.from({length: 9}, () => {
		const client = createStoreClient({url: `http://${standIn.address}`, metrics: createMetrics()});
		let known: Entry<unknown> = {key: 'k', revision: 0, value: undefined};
		return createGroupCommit<number>({
			store: client,
			key: 'k',
			empty: 0,
			known: () => known,
			onWritten(entry) {
				known = entry;
			},
		});
	});
	const changes = writers.flatMap((writer) =>
		Array.from({length: 5}, async (_, index) => {
			await sleep(index * 10);
			return writer.submit((value) => ({value: value + 1, result: value + 1}));
		}),
	);
	const results = await Promise.all(changes);
	t.equal(new Set(results).size, 45);
	t.equal(Math.max(...results), 45);
});
