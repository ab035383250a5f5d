import t from 'tap';
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

// Guards against a change that is lost although the watch reports that its reader is current: an instance would serve by
// an old configuration, without a time limit.
await t.test('a change that could not be handled is delivered again', async (t) => {
	const controller = new AbortController();
	const {signal} = controller;
	const unused = async () => {
		throw new Error('not used by watches');
	};

	const store: KeyValueStore = {
		get: unused,
		transact: unused,
		grantLease: unused,
		renewLease: unused,
		revokeLease: unused,
		list: async () => ({...newChanges(1, [newItem(1)]), isListing: true}),
		watch: async (_prefix, afterRevision) => newChanges(2, afterRevision < 2 ? [newItem(2)] : []),
	};
	const handled: number[] = [];
	let failures = 0;
	let isFailing = true;
	await runKeyWatch({
		store,
		prefix: '',
		waitMs: 1,
		pauseMs: 0,
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
