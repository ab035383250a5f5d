import {
	BEGIN_STALL_ESTIMATE_SHARE,
	BEGIN_STALL_MS,
	BEGIN_STALL_SHARE,
	BEST_EFFORT_STALL_MS,
	BEST_EFFORT_STALL_SHARE,
	LONG_RUNNING_START_MS,
	MAX_STALL_DOUBLINGS,
	MIN_STALL_MS,
	STALL_PERCENT_STEPS,
} from './stall-constants.js';
import type {Part, Placement} from './active-job.js';

/**
Pattern: workers that accept work and let it hang while urgent work keeps coming. A hanging run blocks its whole gang, and urgent work has about half of its run time to spare, so a stall is judged by the speed that the run has shown itself.
*/

export type StallExpectation = Readonly<{
	/** Expected run time of the unit. */
	expectedMs: number;
	/** Run time that the caller estimates. */
	estimateMs: number;
	isLongRunning: boolean;
	isBestEffort: boolean;
}>;

/** Time at which the part began; `undefined` while a member of the gang has not started, since the others wait for it. */
const beganMs = ({indexes, placements}: Part): number | undefined => {
	if (placements.length < indexes.length) {
		return undefined;
	}

	const times = placements.map(({acceptedMs}) => acceptedMs);
	return times.every((atMs) => atMs !== undefined) ? Math.max(...times) : undefined;
};

/** Time without progress after which a run has stalled whose speed is not known. */
const unknownSpeedLimitMs = ({expectedMs, estimateMs, isLongRunning, isBestEffort}: StallExpectation): number => {
	if (isLongRunning) {
		return LONG_RUNNING_START_MS;
	}

	const estimateLimitMs = estimateMs * BEGIN_STALL_ESTIMATE_SHARE;
	return isBestEffort
		? Math.max(BEST_EFFORT_STALL_MS, expectedMs * BEST_EFFORT_STALL_SHARE, estimateLimitMs)
		: Math.max(BEGIN_STALL_MS, expectedMs * BEGIN_STALL_SHARE, estimateLimitMs);
};

const stallLimitMs = (
	{percent, progressMs, isFullRun}: Placement,
	sinceMs: number,
	earlierStalls: number,
	expectation: StallExpectation,
): number => {
	const {isLongRunning, isBestEffort} = expectation;
	if (isFullRun && percent > 0 && !isLongRunning && !isBestEffort) {
		return Math.max(MIN_STALL_MS, ((progressMs - sinceMs) / percent) * STALL_PERCENT_STEPS);
	}

	// A unit that stalls again and again may only take longer for its first percent than expected.
	return unknownSpeedLimitMs(expectation) * 2 ** Math.min(MAX_STALL_DOUBLINGS, earlierStalls);
};

/**
Finds a run of the part that makes no progress; `undefined` if there is none. Only reports show a stall, so the time since the last report does not count.

@example
```ts
const stalled = findStalled(part, {expectedMs: 2500, estimateMs: 3000, isLongRunning: false, isBestEffort: false});
```
*/
export const findStalled = (part: Part, expectation: StallExpectation): Placement | undefined => {
	const sinceMs = beganMs(part);
	if (sinceMs === undefined) {
		return undefined;
	}

	return part.placements.find((placement) => {
		const {phase, percent, progressMs, reportedMs, throttlePercent} = placement;
		return (
			phase === 'running' &&
			percent < 100 &&
			// A throttled unit may make no progress without being stalled.
			(throttlePercent === 100 || !expectation.isBestEffort) &&
			reportedMs - Math.max(progressMs, sinceMs) > stallLimitMs(placement, sinceMs, part.stalls, expectation)
		);
	});
};
