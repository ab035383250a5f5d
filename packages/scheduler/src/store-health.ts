import {createClocks, type Clocks} from './clocks.js';
import {STORE_LOST_MS} from './constants.js';
import {createReplicaAge} from './replica-age.js';

/** Tracks whether the store is reachable and how current the configuration is. */
export type StoreHealth = Readonly<{
	/** Records a response of the store to a call that began at `startedMs`, by `clocks.now`. */
	recordResponse: (startedMs: number) => void;
	recordFailure: () => void;
	/** Whether contact with the store is lost: calls have failed for a while without a response in between. */
	isLost: () => boolean;
	/** Whether the last call has got no response; far more often than `isLost` this is a single failure. */
	isInDoubt: () => boolean;
	/** Records that the configuration was current at this time, by `clocks.latestNow`. */
	recordSync: (atMs: number) => void;
	/** Time since the configuration was last known to be current. */
	stalenessMs: () => number;
	clocks: Clocks;
}>;

/**
Creates the health tracker of the store connection.

@example
```ts
const health = createStoreHealth();
if (health.isLost()) refuse();
```
*/
export const createStoreHealth = (clocks: Clocks = createClocks()): StoreHealth => {
	const {now, latestNow} = clocks;
	/** Start of the newest call that got a response. */
	let lastResponseMs = now();
	/** Whether a call has failed since the last response. */
	let isFailing = false;
	const configurationAge = createReplicaAge(latestNow);
	return {
		clocks,
		recordResponse(startedMs) {
			lastResponseMs = Math.max(lastResponseMs, startedMs);
			isFailing = false;
		},
		recordFailure() {
			isFailing = true;
		},
		isLost: () => isFailing && now() - lastResponseMs > STORE_LOST_MS,
		isInDoubt: () => isFailing,
		recordSync: configurationAge.recordSync,
		stalenessMs: configurationAge.ageMs,
	};
};
