import {MIN_WINDOW_MS, MAX_REPORT_SKEW_MS, SLOW_JOBS_LIMIT, SLOW_RATIO, NORMAL_SPEED_RATIO} from './constants.js';
import {stepOf, type Placement} from './active-job.js';
import {expectedRunMs, partRunFactor, type LeaderState, type PlacedUnit} from './leader-state.js';
import {projectedRunMs} from './progress-window.js';

/** Whether the progress reports of the run cover enough time to measure its speed. */
const isMeasured = ({phase, window, percent, throttlePercent}: Placement): boolean =>
	phase === 'running' &&
	(throttlePercent ?? 100) === 100 &&
	percent < 100 &&
	window !== undefined &&
	window.newest.atMs - window.base.atMs >= MIN_WINDOW_MS;

/** Run time projected from the progress of the run; for a run that has finished its work, the time until that report. */
const projectedRunMsOf = (placement: Placement): number | undefined => {
	if (placement.percent >= 100) {
		return placement.isFullRun ? placement.progressMs - placement.startedMs : undefined;
	}

	return isMeasured(placement) && placement.window ? projectedRunMs(placement.window) : undefined;
};

/**
Run times of the step's units that are placed on other workers, on a typical worker. A gang begins when its last member has started, so only reports of about the same time are compared.
*/
export const comparableRunMs = (
	state: LeaderState,
	{activeJob, part: {step, occurrence}, placement: {workerId}}: PlacedUnit,
	reportedMs: number,
): readonly number[] => {
	const times: number[] = [];
	for (const part of activeJob.parts.values()) {
		if (part.step === step && part.occurrence === occurrence) {
			for (const placement of part.placements) {
				const isComparable = placement.workerId !== workerId && placement.reportedMs - reportedMs < MAX_REPORT_SKEW_MS;
				const projectedMs = isComparable ? projectedRunMsOf(placement) : undefined;
				if (projectedMs !== undefined) {
					times.push(projectedMs / partRunFactor(state, part));
				}
			}
		}
	}

	return times;
};

/** Run time of a unit of the step on other workers, taken as their first quartile; `undefined` if it has not been measured. */
const siblingRunMs = (state: LeaderState, placed: PlacedUnit): number | undefined => {
	const times = comparableRunMs(state, placed, placed.placement.reportedMs).toSorted((a, b) => a - b);
	return times[Math.floor(times.length / 4)] ?? placed.activeJob.stepTimes.get(placed.part.step)?.runMs;
};

/** Speed of one run relative to its expected speed. */
export type UnitSpeed = Readonly<{
	/** How many times longer than expected on its worker the run takes. */
	ratio: number;
	/** Expected run time on a typical worker, in milliseconds. */
	expectedMs: number;
	/** Run time at the present speed, in milliseconds. */
	projectedMs: number;
	/** Whether the expected time was measured on units of the same step, which do the same work, and is not an estimate. */
	isCompared: boolean;
}>;

/**
Speed of a run; `undefined` while it cannot be measured. A unit that runs in another rack than its data is slower for that reason and says nothing about its worker.

@example
```ts
unitSpeed(state, {activeJob, part, placement})?.ratio; // 4 on a worker that is four times slower
```
*/
export const unitSpeed = (state: LeaderState, placed: PlacedUnit): UnitSpeed | undefined => {
	const {activeJob, part, placement} = placed;
	const {longRunning, dataRack} = stepOf(activeJob, part);
	const isRemote = dataRack !== undefined && state.directory.get(placement.workerId)?.rack !== dataRack;
	if (longRunning || isRemote || !isMeasured(placement) || !placement.window) {
		return undefined;
	}

	const comparedMs = siblingRunMs(state, placed);
	const expectedMs = comparedMs ?? expectedRunMs(state, activeJob, part.step);
	const projectedMs = projectedRunMs(placement.window);
	return {
		ratio: projectedMs / Math.max(1, expectedMs * partRunFactor(state, part)),
		expectedMs,
		projectedMs,
		isCompared: comparedMs !== undefined,
	};
};

/**
Whether a worker is slow, by the speeds of its units: one unit is far slower than units of the same step on other workers, or units of two jobs are far over their estimates, and none runs at its expected speed.

@example
```ts
isSlowWorker([{jobId: 'a', speed: {ratio: 4, expectedMs: 2500, isCompared: true}}]); // true
```
*/
export const isSlowWorker = (units: ReadonlyArray<Readonly<{jobId: string; speed: UnitSpeed}>>): boolean => {
	if (units.some(({speed}) => speed.ratio < NORMAL_SPEED_RATIO)) {
		return false;
	}

	const slow = units.filter(({speed}) => speed.ratio >= SLOW_RATIO);
	return slow.some(({speed}) => speed.isCompared) || new Set(slow.map(({jobId}) => jobId)).size >= SLOW_JOBS_LIMIT;
};
