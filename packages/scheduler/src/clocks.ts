import {SUSPENSION_MIN_MS} from './constants.js';

/**
Clocks of an instance that bound the elapsed time from both sides. The monotonic clock of the system stops while the machine is suspended, and the wall clock, which shows a suspension, may also be stepped; the two cannot be told apart. Readings of one clock are never compared with readings of the other.
*/
export type Clocks = Readonly<{
	/** Monotonic clock in milliseconds, never ahead of the elapsed time. Measures how long to wait until others may no longer act, such as until the lease of a worker has ended. */
	now: () => number;
	/** Clock in milliseconds that is never behind the elapsed time, as far as the wall clock shows suspensions. Measures for how long this instance may still act, such as until its leadership has ended or a view is outdated. */
	latestNow: () => number;
}>;

export type ClocksOptions = Readonly<{
	/** Time since the start of the process; stops while the machine is suspended. */
	monotonic?: () => number;
	/** Time of day. */
	wallClock?: () => number;
	/** Called with each gain of the wall clock on the monotonic one that counts as a suspension, in milliseconds. */
	onGain?: (gainMs: number) => void;
}>;

/**
Creates the clocks of an instance. `latestNow` adds to the monotonic clock what the wall clock gains on it.

Gains count from `SUSPENSION_MIN_MS` on. The wall clock has a coarser resolution than the monotonic one, so counting each gain would make the clock run fast on a busy instance.

@example
```ts
const clocks = createClocks();
const leaseEndMs = clocks.now() + 10_000; // of a worker
const validUntilMs = clocks.latestNow() + 1250; // of this leader
```
*/
export const createClocks = ({
	monotonic = () => performance.now(),
	wallClock = () => Date.now(),
	onGain,
}: ClocksOptions = {}): Clocks => {
	let offsetMs = wallClock() - monotonic();
	let suspendedMs = 0;
	return {
		now: monotonic,
		latestNow() {
			const monotonicMs = monotonic();
			const gainMs = wallClock() - monotonicMs - offsetMs;
			if (gainMs >= SUSPENSION_MIN_MS) {
				suspendedMs += gainMs;
				offsetMs += gainMs;
				onGain?.(gainMs);
			} else if (gainMs < 0) {
				offsetMs += gainMs;
			}

			return monotonicMs + suspendedMs;
		},
	};
};
