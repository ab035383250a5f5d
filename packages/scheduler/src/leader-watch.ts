import {runKeyWatch, type KeyValueStore} from '@bergamotgauge/store';
import type {Log} from '@bergamotgauge/telemetry';
import {LEADER_WATCH_WAIT_MS, WATCH_RETRY_MAX_MS, WATCH_RETRY_MIN_MS} from './constants.js';
import {BACKLOG_KEY, LEADER_KEY} from './keys.js';
import type {StoreHealth} from './store-health.js';

/** Whether an instance holds the leadership, as of the latest response of the store. */
export type LeaderWatch = Readonly<{
	isLoaded: () => boolean;
	isVacant: () => boolean;
	/** Records that a claim failed because another instance holds the leader key. */
	markTaken: (revision: number) => void;
	run: (signal: AbortSignal) => Promise<void>;
}>;

/**
Creates the watch on the leader key and on what the leader publishes.

@example
```ts
const leader = createLeaderWatch({store, health, log, onBacklog});
lifecycle.run('leader-watch', leader.run);
```
*/
export const createLeaderWatch = ({
	store,
	health,
	log,
	onBacklog,
}: Readonly<{
	store: KeyValueStore;
	health: StoreHealth;
	log: Log;
	/** Called with the backlog that a leader has published. */
	onBacklog: (value: Uint8Array) => void;
}>): LeaderWatch => {
	let isLoaded = false;
	let heldRevision = 0;
	let vacantRevision = 0;
	return {
		isLoaded: () => isLoaded,
		isVacant: () => vacantRevision >= heldRevision,
		markTaken(revision) {
			heldRevision = Math.max(heldRevision, revision);
		},
		run: async (signal) =>
			runKeyWatch({
				store,
				prefix: LEADER_KEY,
				waitMs: () => LEADER_WATCH_WAIT_MS,
				pauseMs: () => 0,
				retryMinMs: WATCH_RETRY_MIN_MS,
				retryMaxMs: WATCH_RETRY_MAX_MS,
				onChanges(changes) {
					isLoaded = true;
					const backlog = changes.items.find(({key}) => key === BACKLOG_KEY);
					if (backlog) {
						onBacklog(backlog.value);
					}

					const item = changes.items.find(({key}) => key === LEADER_KEY);
					if (item) {
						heldRevision = Math.max(heldRevision, item.revision);
					} else if (changes.isListing || changes.removed.includes(LEADER_KEY)) {
						vacantRevision = Math.max(vacantRevision, changes.revision);
					}
				},
				onFailure(error) {
					log.debug('watch-failed', {prefix: LEADER_KEY, error: error.message});
				},
				now: health.clocks.now,
				signal,
			}),
	};
};
