/** What a clock has gained on the monotonic one. */
export type ClockGain = Readonly<{
	/** Gain since it was last taken, in milliseconds; less than 0 if the clock was read late. */
	readMs: () => number;
	/** Returns the gain, which counts from 0 again. */
	takeMs: () => number;
}>;

/**
Compares a clock with the monotonic one. A loss, such as a backward step, hides no later gain.

The process may wait for its processor before or after the reading of the clock, so the clock is read between two readings of the monotonic one, and such a wait is neither a gain nor a loss.

@example
```ts
const gain = createClockGain(() => performance.now(), () => Date.now());
gain.readMs(); // 6000 after a suspension of 6 s
```
*/
export const createClockGain = (monotonic: () => number, clock: () => number): ClockGain => {
	let offsetMs = clock() - monotonic();
	const readMs = (): number => {
		const beforeMs = monotonic();
		const clockMs = clock();
		const afterMs = monotonic();
		offsetMs = Math.min(offsetMs, clockMs - beforeMs);
		return clockMs - afterMs - offsetMs;
	};

	return {
		readMs,
		takeMs() {
			const gainMs = Math.max(0, readMs());
			offsetMs += gainMs;
			return gainMs;
		},
	};
};
