import FakeTimers from '@sinonjs/fake-timers';
import t, {type Test} from 'tap';
import {createReplica, runWatcher, type Changes, type Store} from './index.js';

type WatchResponse = Changes | 'silent';

const ignore = () => {};

const unexpectedCall = async (): Promise<never> => {
	throw new Error('not used');
};

/** A store that returns the watch responses in order. A `silent` one fails as the store client does at its deadline. */
const fakeStore = (responses: readonly WatchResponse[], full: () => Changes) => {
	const calls = {list: 0, after: [] as number[]};
	const store: Store = {
		get: unexpectedCall,
		put: unexpectedCall,
		remove: unexpectedCall,
		async list() {
			calls.list += 1;
			return full();
		},
		async watch(_prefixes, after, waitMs, signal) {
			const response = responses[calls.after.length];
			calls.after.push(after);
			return new Promise((resolve, reject) => {
				signal.addEventListener('abort', () => {
					reject(new Error('aborted'));
				});
				if (response === 'silent') {
					setTimeout(() => {
						reject(new Error('deadline'));
					}, waitMs + 2000);
				} else if (response) {
					resolve(response);
				}
			});
		},
	};
	return {store, calls};
};

const entry = (key: string, revision: number) => ({key, revision, value: revision});

const run = async (t: Test, store: Store) => {
	const clock = FakeTimers.install();
	const controller = new AbortController();
	const replica = createReplica();
	const done = runWatcher({
		store,
		replica,
		prefixes: ['a/'],
		isWatching: () => true,
		onChanges: ignore,
		signal: controller.signal,
	});
	await clock.tickAsync(30_000);
	clock.uninstall();
	t.teardown(async () => {
		controller.abort();
		await done;
	});
	return replica;
};

// Guards against changes missed between two watches, and against a full listing before each watch.
await t.test('a watch resumes after the last revision', async (t) => {
	const {store, calls} = fakeStore([{revision: 7, entries: [entry('a/1', 7)], compacted: false}], () => ({
		revision: 5,
		entries: [entry('a/1', 5)],
		compacted: false,
	}));
	const replica = await run(t, store);
	t.same(calls, {list: 1, after: [5, 7]});
	t.match(replica.get('a/1'), {revision: 7});
});

for (const [name, gap] of [
	['compaction', {revision: 9, entries: [], compacted: true}],
	['gap', {revision: 3, entries: [], compacted: false}],
] as const) {
	// Guards against a replica that lacks changes which the store has compacted, without any error.
	await t.test(`a ${name} causes one new listing and drops removed keys`, async (t) => {
		let reads = 0;
		const {store, calls} = fakeStore([gap], () => {
			reads += 1;
			return reads === 1
				? {revision: 5, entries: [entry('a/1', 4), entry('a/2', 5)], compacted: false}
				: {revision: 9, entries: [entry('a/2', 9)], compacted: false};
		});
		const replica = await run(t, store);
		t.same(calls, {list: 2, after: [5, 9]});
		t.equal(replica.get('a/1').value, undefined);
		t.match(replica.get('a/2'), {revision: 9});
	});
}

// Guards against an instance that receives no further changes, or never reopens its watch, after the watch stopped responding.
await t.test('an unresponsive watch is reopened from the same revision', async (t) => {
	const {store, calls} = fakeStore(
		['silent', 'silent', {revision: 6, entries: [entry('a/1', 6)], compacted: false}],
		() => ({revision: 5, entries: [], compacted: false}),
	);
	const replica = await run(t, store);
	t.same(calls.after, [5, 5, 5, 6]);
	t.match(replica.get('a/1'), {revision: 6});
});
