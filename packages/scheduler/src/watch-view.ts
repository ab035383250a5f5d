import {runKeyWatch, type KeyChanges, type KeyValueStore} from '@bergamotgauge/store';
import type {Log} from '@bergamotgauge/telemetry';
import {WATCH_RETRY_MAX_MS, WATCH_RETRY_MIN_MS} from './constants.js';
import type {ReplicaAge} from './replica-age.js';
import {viewPauseMs, viewWaitMs, type ViewBudget} from './view-timing.js';

export type ViewWatchOptions = Readonly<{
	store: KeyValueStore;
	log: Log;
	/** Clock by which the age of the replica is measured. */
	latestNow: () => number;
	prefix: string;
	/** Age that the replica should stay below without faults. */
	maxAgeMs: () => number;
	/** Longest pause after a response with changes. */
	pauseMs: number;
	/** Age of the replica that the changes go to. */
	age: ReplicaAge;
	onChanges: (changes: KeyChanges) => void | Promise<void>;
	/** Called when the age has been updated. */
	onSynced: () => void;
	signal: AbortSignal;
}>;

/**
Keeps a replica of the keys of a prefix and its age until the signal aborts. Logs when the watch fails and when it responds again.

@example
```ts
lifecycle.run('jobs', async (signal) => watchView({store, log, latestNow, prefix: 'jobs/', maxAgeMs: () => 2300, pauseMs: 40, age, onChanges, onSynced, signal}));
```
*/
export const watchView = async (options: ViewWatchOptions): Promise<void> => {
	const {store, log, latestNow, prefix, maxAgeMs, pauseMs, age, onChanges, onSynced, signal} = options;
	let isLost = false;
	/** Wait of the call in progress; a call that the watch makes without asking for one has none. */
	let waitMs = 0;
	let responseMs = 0;
	const budget = (): ViewBudget => ({maxAgeMs: maxAgeMs(), ageMs: age.ageMs(), responseMs});
	return runKeyWatch({
		store,
		prefix,
		waitMs() {
			waitMs = viewWaitMs(budget());
			return waitMs;
		},
		pauseMs: () => viewPauseMs(budget(), pauseMs),
		retryMinMs: WATCH_RETRY_MIN_MS,
		retryMaxMs: WATCH_RETRY_MAX_MS,
		onChanges,
		onSuccess(startedMs) {
			if (isLost) {
				log.info('watch-regained', {prefix, ageMs: Math.round(age.ageMs())});
				isLost = false;
			}

			responseMs = Math.max(0, latestNow() - startedMs - waitMs);
			waitMs = 0;
			age.recordSync(startedMs);
			onSynced();
		},
		onFailure(error) {
			waitMs = 0;
			// Only the first failure is logged, since they repeat several times a second while the store is unavailable.
			if (!isLost) {
				log.info('watch-lost', {prefix, ageMs: Math.round(age.ageMs()), error: error.message});
				isLost = true;
			}
		},
		now: latestNow,
		signal,
	});
};
