import {sleep} from '@bergamotgauge/lifecycle';
import {WATCH_WAIT_MS} from './constants.js';
import type {Replica} from './replica.js';
import type {Changes, Entry, Store} from './types.js';

const STANDBY_CHECK_MS = 250;

export type WatcherOptions = Readonly<{
	store: Store;
	replica: Replica;
	prefixes: readonly string[];
	/** Whether this instance holds a watch now. */
	isWatching: () => boolean;
	/** Called with each set of changes that the watch delivers. */
	onChanges: (changes: Changes) => void;
	signal: AbortSignal;
}>;

/**
Reads all values of the prefixes as one complete list.

@throws {ServiceError} `store-unavailable`.
*/
export const listAll = async (store: Store, prefixes: readonly string[]): Promise<Changes> => {
	const lists: Changes[] = [];
	for (const prefix of prefixes) {
		lists.push(await store.list(prefix));
	}

	const entries: ReadonlyArray<Entry<unknown>> = lists.flatMap((list) => list.entries);
	// The oldest list bounds what the copy is known to contain; the watch brings the rest.
	return {revision: Math.min(...lists.map((list) => list.revision)), entries, compacted: true};
};

/**
Keeps the replica up to date through one long-poll watch while `isWatching` holds.

@example
```ts
lifecycle.run('watch', async (signal) => runWatcher({store, replica, prefixes: ['racks/'], isWatching, onChanges, signal}));
```
*/
export const runWatcher = async (options: WatcherOptions): Promise<void> => {
	const {store, replica, prefixes, isWatching, onChanges, signal} = options;
	while (!signal.aborted) {
		if (!isWatching()) {
			await sleep(STANDBY_CHECK_MS, signal);
			continue;
		}

		const changes =
			replica.revision() === 0
				? await listAll(store, prefixes)
				: await store.watch(prefixes, replica.revision(), WATCH_WAIT_MS, signal);
		const complete = changes.compacted && replica.revision() > 0 ? await listAll(store, prefixes) : changes;
		replica.apply(complete);
		onChanges(complete);
	}
};
