import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {WATCH_RETRY_MAX_MS, WATCH_RETRY_MIN_MS, WATCH_WAIT_MS} from './constants.js';
import type {Replica} from './replica.js';
import type {Changes, Entry, Store} from './types.js';

/** Interval at which an instance without a watch checks whether it should open one. */
const STANDBY_CHECK_MS = 250;

export type WatcherOptions = Readonly<{
	store: Store;
	replica: Replica;
	prefixes: readonly string[];
	/** Whether this instance should currently keep a watch open. */
	isWatching: () => boolean;
	/** Called with each set of changes that the watch returns and the revision after which they start. */
	onChanges: (changes: Changes, afterRevision: number) => void;
	onFailure?: (error: Error) => void;
	/** Pause after changes; changes that arrive meanwhile are returned together by the next call. */
	pauseMs?: () => number;
	signal: AbortSignal;
}>;

/**
Reads all values of the prefixes as one full listing.

@throws {ServiceError} `store-unavailable`.
*/
export const listAll = async (store: Store, prefixes: readonly string[]): Promise<Changes> => {
	const lists = await Promise.all(prefixes.map(async (prefix) => store.list(prefix)));

	const entries: ReadonlyArray<Entry<unknown>> = lists.flatMap((list) => list.entries);
	// The lists are read at different revisions; only changes up to the oldest one are certain to be included. The watch delivers the rest.
	return {revision: Math.min(...lists.map((list) => list.revision)), entries, compacted: true};
};

const readNextChanges = async (
	{store, replica, prefixes, signal}: WatcherOptions,
	hasListed: boolean,
): Promise<Changes> => {
	const afterRevision = replica.revision();
	// The listing of a store that was never written also has revision 0.
	if (afterRevision === 0 && !hasListed) {
		return listAll(store, prefixes);
	}

	const changes = await store.watch(prefixes, afterRevision, WATCH_WAIT_MS, signal);
	// A response that ends before the revision at which the watch started has a gap, like one whose changes the store has compacted.
	return changes.compacted || changes.revision < afterRevision ? listAll(store, prefixes) : changes;
};

/**
Keeps the replica up to date through one long-poll watch while `isWatching` returns true. The watch resumes after the replica's revision; a gap or a compaction causes one new read of the full listing. An unresponsive watch fails at the store client's deadline and is reopened.

@example
```ts
lifecycle.run('watch', async (signal) => runWatcher({store, replica, prefixes: ['racks/'], isWatching, onChanges, signal}));
```
*/
export const runWatcher = async (options: WatcherOptions): Promise<void> => {
	const {replica, isWatching, onChanges, onFailure, pauseMs, signal} = options;
	const newBackoff = () => createBackoff({minMs: WATCH_RETRY_MIN_MS, maxMs: WATCH_RETRY_MAX_MS});
	let backoff = newBackoff();
	let hasListed = false;
	while (!signal.aborted) {
		if (!isWatching()) {
			await sleep(STANDBY_CHECK_MS, signal);
			continue;
		}

		try {
			const afterRevision = replica.revision();
			const changes = await readNextChanges(options, hasListed);
			hasListed = true;
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
