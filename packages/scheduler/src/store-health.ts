import {performance} from 'node:perf_hooks';
import {STORE_LOST_MS} from './constants.js';

/** What an instance knows of its way to the store. */
export type StoreHealth = Readonly<{
	/** A call that began at `startedMs` was answered. */
	answered: (startedMs: number) => void;
	failed: () => void;
	/** Whether calls have failed for a while without an answer in between. */
	isLost: () => boolean;
	/** The copy of the declarations was current at this time of `now`. */
	synced: (atMs: number) => void;
	/** Time since the copy of the declarations was last known to be current. */
	stalenessMs: () => number;
	now: () => number;
}>;

/**
A clock that also counts the time for which the machine was suspended. The steady clock stops then, and the time of day may jump, so each step takes the larger of both.
*/
export const createSuspendClock = (monotonic = () => performance.now(), timeOfDay = () => Date.now()) => {
	let lastMonotonic = monotonic();
	let lastTimeOfDay = timeOfDay();
	let total = 0;
	return (): number => {
		const monotonicNow = monotonic();
		const timeOfDayNow = timeOfDay();
		total += Math.max(0, monotonicNow - lastMonotonic, timeOfDayNow - lastTimeOfDay);
		lastMonotonic = monotonicNow;
		lastTimeOfDay = timeOfDayNow;
		return total;
	};
};

/**
Creates the record of the way to the store.

@example
```ts
const health = createStoreHealth();
if (health.isLost()) refuse();
```
*/
export const createStoreHealth = (now = createSuspendClock()): StoreHealth => {
	let answeredMs = now();
	let failedMs = Number.NEGATIVE_INFINITY;
	let syncedMs = Number.NEGATIVE_INFINITY;
	return {
		now,
		answered(startedMs) {
			answeredMs = Math.max(answeredMs, startedMs);
		},
		failed() {
			failedMs = now();
		},
		isLost: () => failedMs > answeredMs && now() - answeredMs > STORE_LOST_MS,
		synced(atMs) {
			syncedMs = Math.max(syncedMs, atMs);
		},
		stalenessMs: () => now() - syncedMs,
	};
};
