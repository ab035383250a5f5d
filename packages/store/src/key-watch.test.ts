import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {MIN_WATCH_INTERVAL_MS} from './constants.js';
import type {KeyChanges, KeyValueStore, StoredItem} from './key-value.js';
import {runKeyWatch} from './key-watch.js';

const newItem = (revision: number): StoredItem => ({
	key: 'config',
	value: new Uint8Array(0),
	revision,
	createRevision: 1,
	lease: 0,
});

const newChanges = (revision: number, items: readonly StoredItem[]): KeyChanges => ({
	revision,
	items,
	removed: [],
	isListing: false,
});

const unused = async () => {
	throw new Error('not used by watches');
};

const unusedCalls = {
	get: unused,
	transact: unused,
	grantLease: unused,
	renewLease: unused,
	revokeLease: unused,
};

// Guards against a change that is lost although the watch reports that its reader is current: an instance would serve by
// an old configuration, without a time limit.
await t.test('a change that could not be handled is delivered again', async (t) => {
	const controller = new AbortController();
	const {signal} = controller;
	const store: KeyValueStore = {
		...unusedCalls,
		list: async () => ({...newChanges(1, [newItem(1)]), isListing: true}),
		watch: async (_prefix, afterRevision) => newChanges(2, afterRevision < 2 ? [newItem(2)] : []),
	};
	const handled: number[] = [];
	let failures = 0;
	let isFailing = true;
	await runKeyWatch({
		store,
		prefix: '',
		waitMs: () => 1,
		pauseMs: () => 0,
		retryMinMs: 1,
		retryMaxMs: 1,
		onChanges({items}) {
			const revision = items[0]?.revision ?? 0;
			if (revision === 2 && isFailing) {
				isFailing = false;
				throw new Error('the change cannot be decoded');
			}

			handled.push(revision);
		},
		onSuccess() {
			if (handled.length === 2) {
				controller.abort();
			}
		},
		onFailure() {
			failures += 1;
		},
		now: () => performance.now(),
		signal,
	});
	t.same(handled, [1, 2]);
	t.equal(failures, 1);
});

// Guards against knowledge whose age is unknown for a whole long poll after a listing, whose pages may be old, or after a
// watch without a response.
await t.test('the watch after a listing or a failure does not wait for changes', async (t) => {
	const controller = new AbortController();
	const waits: number[] = [];
	const store: KeyValueStore = {
		...unusedCalls,
		list: async () => ({...newChanges(1, []), isListing: true}),
		async watch(_prefix, _afterRevision, waitMs) {
			waits.push(waitMs);
			switch (waits.length) {
				case 3: {
					throw new Error('no response');
				}

				case 5: {
					return {...newChanges(2, []), isListing: true};
				}

				case 7: {
					controller.abort();
					break;
				}

				default: {
					break;
				}
			}

			return newChanges(2, []);
		},
	};
	await runKeyWatch({
		store,
		prefix: '',
		waitMs: () => 500,
		pauseMs: () => 0,
		retryMinMs: 1,
		retryMaxMs: 1,
		onChanges() {
			// Only the waits are checked.
		},
		now: () => performance.now(),
		signal: controller.signal,
	});
	t.same(waits, [0, 500, 500, 0, 500, 0, 500]);
});

// Guards against a loop that takes the whole processor: a store that does not wait responds to each watch at once.
await t.test('a store that responds at once without changes is asked a few times a second', async (t) => {
	const clock = FakeTimers.install({now: 1000});
	const controller = new AbortController();
	let watches = 0;
	const store: KeyValueStore = {
		...unusedCalls,
		list: async () => ({...newChanges(1, []), isListing: true}),
		async watch() {
			watches += 1;
			// Ends a loop without a pause instead of hanging the test.
			return watches > 2000 ? new Promise(() => {}) : newChanges(1, []);
		},
	};
	const running = runKeyWatch({
		store,
		prefix: '',
		waitMs: () => 500,
		pauseMs: () => 0,
		retryMinMs: 1,
		retryMaxMs: 1,
		onChanges() {
			// Only the number of calls is checked.
		},
		now: () => performance.now(),
		signal: controller.signal,
	});
	await clock.tickAsync(5000);
	controller.abort();
	await clock.tickAsync(1000);
	await running;
	clock.uninstall();
	// The first one after a listing is not followed by a pause.
	t.ok(watches <= 5000 / MIN_WATCH_INTERVAL_MS + 2, `${watches} watches in 5 s`);
	t.ok(watches > 5, 'it is still watched');
});
