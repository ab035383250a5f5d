import {MIN_WINDOW_MS} from './constants.js';
import {stepOf, type Placement} from './active-job.js';
import {expectedRunMs, partRunFactor, type LeaderState, type PlacedUnit} from './leader-state.js';
import {projectedRunMs} from './progress-window.js';

/** Percentage from which the progress of a run predicts its end better than the caller's estimate. */
const MIN_MEASURED_PERCENT = 5;

/** A run that has outlasted its expected time is expected to take this many times the time that it has run. */
const OVERTIME_FACTOR = 1.2;

/** Run time of the whole unit at the speed that the reports show; `undefined` while they show too little. */
const measuredRunMs = ({window, percent, isFullRun, startedMs, reportedMs}: Placement): number | undefined => {
	if (window && window.newest.atMs - window.base.atMs >= MIN_WINDOW_MS && window.newest.percent > window.base.percent) {
		return projectedRunMs(window);
	}

	return isFullRun && percent >= MIN_MEASURED_PERCENT ? ((reportedMs - startedMs) * 100) / percent : undefined;
};

/**
Expected end of a run, in monotonic time. A percentage is as old as the report that it came with, so the rest of the work counts from that report.

@example
```ts
expectedEndMs(state, {activeJob, part, placement}, now());
```
*/
export const expectedEndMs = (state: LeaderState, {activeJob, part, placement}: PlacedUnit, nowMs: number): number => {
	if (stepOf(activeJob, part).longRunning) {
		return Number.POSITIVE_INFINITY;
	}

	const {percent, startedMs, reportedMs} = placement;
	const measuredMs = measuredRunMs(placement);
	const expectedMs = expectedRunMs(state, activeJob, part.step) * partRunFactor(state, part);
	const restShare = (100 - percent) / 100;
	const endMs =
		measuredMs === undefined
			? Math.max(startedMs, reportedMs) + expectedMs * restShare
			: reportedMs + measuredMs * restShare;
	return endMs > nowMs ? endMs : startedMs + (nowMs - startedMs) * OVERTIME_FACTOR;
};
