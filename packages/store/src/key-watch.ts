import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {MIN_WATCH_INTERVAL_MS} from './constants.js';
import type {KeyChanges, KeyValueStore} from './key-value.js';

export type KeyWatchOptions = Readonly<{
	store: KeyValueStore;
	prefix: string;
	/** Long-poll timeout of the next watch, in milliseconds. */
	waitMs: () => number;
	/** Pause after changes, in milliseconds; changes that arrive meanwhile are returned together by the next call. */
	pauseMs: () => number;
	retryMinMs: number;
	retryMaxMs: number;
	/** Handles changes; the next call starts when it has resolved. */
	onChanges: (changes: KeyChanges) => void | Promise<void>;
	/** Called after each successful call with the time at which it started. */
	onSuccess?: (startedMs: number) => void;
	onFailure?: (error: Error) => void;
	now: () => number;
	signal: AbortSignal;
}>;

/**
Follows the keys of a prefix: one full listing, then long-poll watches. A failed call, or a failure to handle its changes, is retried with backoff and resumes after the last handled revision. The watch after a listing or a failure does not wait, since changes may be outstanding and only its response shows that there are none.

@example
```ts
lifecycle.run('watch', async (signal) => runKeyWatch({store, prefix: 'jobs/', waitMs: () => 1500, pauseMs: () => 40, onChanges, signal, ...timing}));
```
*/
export const runKeyWatch = async (options: KeyWatchOptions): Promise<void> => {
	const {store, prefix, waitMs, pauseMs, onChanges, onSuccess, onFailure, now, signal} = options;
	const backoff = createBackoff({minMs: options.retryMinMs, maxMs: options.retryMaxMs});
	let revision: number | undefined;
	let isCaughtUp = false;
	while (!signal.aborted) {
		const startedMs = now();
		try {
			const changes: KeyChanges =
				revision === undefined
					? await store.list(prefix)
					: await store.watch(prefix, revision, isCaughtUp ? waitMs() : 0, signal);
			if (signal.aborted) {
				return;
			}

			const wasCaughtUp = isCaughtUp;
			await onChanges(changes);
			// A change that could not be handled is requested again, so that success means that all changes were handled.
			revision = changes.revision;
			isCaughtUp = !changes.isListing;
			onSuccess?.(startedMs);
			backoff.reset();
			if (changes.items.length + changes.removed.length > 0) {
				await sleep(pauseMs(), signal);
			} else if (wasCaughtUp) {
				await sleep(MIN_WATCH_INTERVAL_MS - (now() - startedMs), signal);
			}
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			isCaughtUp = false;
			onFailure?.(error instanceof Error ? error : new Error(String(error)));
			await sleep(backoff.next(), signal);
		}
	}
};
