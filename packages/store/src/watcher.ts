import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {WATCH_RETRY_MAX_MS, WATCH_RETRY_MIN_MS, WATCH_WAIT_MS} from './constants.js';
import type {Replica} from './replica.js';
import type {Changes, Entry, Store} from './types.js';

const STANDBY_CHECK_MS = 250;

export type WatcherOptions = Readonly<{
	store: Store;
	replica: Replica;
	prefixes: readonly string[];
	/** Whether this instance holds a watch now. */
	isWatching: () => boolean;
	/** Called with each set of changes that the watch delivers and the revision after which they start. */
	onChanges: (changes: Changes, afterRevision: number) => void;
	onFailure?: (error: Error) => void;
	/** Pause after changes; those that arrive meanwhile come with one call. */
	pauseMs?: () => number;
	signal: AbortSignal;
}>;

/**
Reads all values of the prefixes as one complete list.

@throws {ServiceError} `store-unavailable`.
*/
export const listAll = async (store: Store, prefixes: readonly string[]): Promise<Changes> => {
	const lists = await Promise.all(prefixes.map(async (prefix) => store.list(prefix)));

	const entries: ReadonlyArray<Entry<unknown>> = lists.flatMap((list) => list.entries);
	// The oldest list bounds what the copy is known to contain; the watch brings the rest.
	return {revision: Math.min(...lists.map((list) => list.revision)), entries, compacted: true};
};

const readNext = async ({store, replica, prefixes, signal}: WatcherOptions, isListed: boolean): Promise<Changes> => {
	const afterRevision = replica.revision();
	// The list of a store without a single write has revision 0 too.
	if (afterRevision === 0 && !isListed) {
		return listAll(store, prefixes);
	}

	const changes = await store.watch(prefixes, afterRevision, WATCH_WAIT_MS, signal);
	// An answer that ends before the point where the watch began has a gap, like one whose changes the store has dropped.
	return changes.compacted || changes.revision < afterRevision ? listAll(store, prefixes) : changes;
};

/**
Keeps the replica up to date through one long-poll watch while `isWatching` holds. The watch resumes after the replica's revision; a gap or a compaction costs one new read of the lists. A silent watch fails by the store client's deadline and is reopened.

@example
```ts
lifecycle.run('watch', async (signal) => runWatcher({store, replica, prefixes: ['racks/'], isWatching, onChanges, signal}));
```
*/
export const runWatcher = async (options: WatcherOptions): Promise<void> => {
	const {replica, isWatching, onChanges, onFailure, pauseMs, signal} = options;
	const newBackoff = () => createBackoff({minMs: WATCH_RETRY_MIN_MS, maxMs: WATCH_RETRY_MAX_MS});
	let backoff = newBackoff();
	let isListed = false;
	while (!signal.aborted) {
		if (!isWatching()) {
			await sleep(STANDBY_CHECK_MS, signal);
			continue;
		}

		try {
			const afterRevision = replica.revision();
			const changes = await readNext(options, isListed);
			isListed = true;
			backoff = newBackoff();
			replica.apply(changes);
			onChanges(changes, afterRevision);
			if (pauseMs && changes.entries.length > 0) {
				await sleep(pauseMs(), signal);
			}
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			onFailure?.(error instanceof Error ? error : new Error(String(error)));
			await sleep(backoff.next(), signal);
		}
	}
};
