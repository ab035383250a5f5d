import {performance} from 'node:perf_hooks';
import {STORE_LOST_MS} from './constants.js';

/** Tracks whether the store is reachable and how current the configuration is. */
export type StoreHealth = Readonly<{
	/** Records a response of the store to a call that began at `startedMs`. */
	recordResponse: (startedMs: number) => void;
	recordFailure: () => void;
	/** Whether contact with the store is lost: calls have failed for a while without a response in between. */
	isLost: () => boolean;
	/** Records that the configuration was current at this time, as given by `now`. */
	recordSync: (atMs: number) => void;
	/** Time since the configuration was last known to be current. */
	stalenessMs: () => number;
	now: () => number;
}>;

/**
A clock that includes the time for which the machine was suspended. The monotonic clock stops during a suspension and the wall clock may jump, so each step advances by the larger of both.
*/
export const createSuspendClock = (monotonic = () => performance.now(), wallClock = () => Date.now()) => {
	let lastMonotonic = monotonic();
	let lastWallClock = wallClock();
	let total = 0;
	return (): number => {
		const monotonicNow = monotonic();
		const wallClockNow = wallClock();
		total += Math.max(0, monotonicNow - lastMonotonic, wallClockNow - lastWallClock);
		lastMonotonic = monotonicNow;
		lastWallClock = wallClockNow;
		return total;
	};
};

/**
Creates the health tracker of the store connection.

@example
```ts
const health = createStoreHealth();
if (health.isLost()) refuse();
```
*/
export const createStoreHealth = (now = createSuspendClock()): StoreHealth => {
	let lastResponseMs = now();
	let lastFailureMs = Number.NEGATIVE_INFINITY;
	let lastSyncMs = Number.NEGATIVE_INFINITY;
	return {
		now,
		recordResponse(startedMs) {
			lastResponseMs = Math.max(lastResponseMs, startedMs);
		},
		recordFailure() {
			lastFailureMs = now();
		},
		isLost: () => lastFailureMs > lastResponseMs && now() - lastResponseMs > STORE_LOST_MS,
		recordSync(atMs) {
			lastSyncMs = Math.max(lastSyncMs, atMs);
		},
		stalenessMs: () => now() - lastSyncMs,
	};
};
