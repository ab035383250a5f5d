import {stepOf, type ActiveJob, type Part, type Placement, type StepTime} from '../active-job.js';
import {isDataLocal, type LeaderState, type PlacedUnit} from '../leader-state.js';
import {comparableRunMs} from '../slow-units.js';
import {isSlow} from '../worker-evidence.js';
import {MIN_COMPARED_PERCENT, MIN_COMPARED_UNITS} from './constants.js';

/** The mean run time with one more unit. */
export const withRun = (known: StepTime | undefined, runMs: number): StepTime => {
	const units = (known?.units ?? 0) + 1;
	return {runMs: (known?.runMs ?? 0) + (runMs - (known?.runMs ?? 0)) / units, units};
};

/** Whether the speed of the run is that of its worker. A gang is as slow as its slowest member, and a best-effort unit gets what others leave. */
const showsSpeed = (state: LeaderState, {activeJob, part, placement}: PlacedUnit, nowMs: number): boolean => {
	const {longRunning, usesLeftover} = stepOf(activeJob, part);
	return (
		part.indexes.length === 1 &&
		!longRunning &&
		!usesLeftover &&
		!placement.isSpeedCounted &&
		!isSlow(state, placement.workerId, nowMs)
	);
};

/** Counts the run time for the worker if enough units of its step are known to compare it with, and returns whether it did. */
const count = (
	state: LeaderState,
	{activeJob, part, placement}: PlacedUnit,
	runMs: number,
	reportedMs: number,
): boolean => {
	const others = comparableRunMs(state, {activeJob, part, placement}, reportedMs);
	const ended = activeJob.stepTimes.get(part.step);
	const compared = others.length + (ended?.units ?? 0);
	if (compared < MIN_COMPARED_UNITS) {
		return false;
	}

	const sum = others.reduce((total, otherMs) => total + otherMs, 0) + (ended ? ended.runMs * ended.units : 0);
	state.workerSpeeds.observe({workerId: placement.workerId, runMs, expectedMs: sum / compared, compared});
	placement.isSpeedCounted = true;
	return true;
};

/** Counts a run that has ended for the speed of its worker. */
export const observeEnd = (
	state: LeaderState,
	{activeJob, part, placement}: Readonly<{activeJob: ActiveJob; part: Part; placement: Placement}>,
	runMs: number,
	nowMs: number,
): void => {
	if (showsSpeed(state, {activeJob, part, placement}, nowMs)) {
		count(state, {activeJob, part, placement}, runMs, nowMs);
	}
};

/** Counts a run in progress for the speed of its worker, once its reports show enough, and returns whether it did; `runMs` is its projected run time. */
export const observeProgress = (state: LeaderState, placed: PlacedUnit, runMs: number, nowMs: number): boolean => {
	const {activeJob, part, placement} = placed;
	return (
		placement.percent >= MIN_COMPARED_PERCENT &&
		showsSpeed(state, placed, nowMs) &&
		isDataLocal(state, activeJob, part) &&
		count(state, placed, runMs, placement.reportedMs)
	);
};
