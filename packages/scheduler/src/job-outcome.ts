import type {Progress, RunEnd} from '@bergamotgauge/jobs';
import {hasReachedCrashLimit} from './crash-evidence.js';
import {isComplete, markEnded, stepOf, type ActiveJob, type Part, type UnitRun} from './active-job.js';

/** Sets the outcome of a job that has just ended; `nowMs` is wall-clock time. */
export const updateOutcome = (activeJob: ActiveJob, nowMs: number): void => {
	if (activeJob.outcome) {
		return;
	}

	const parts = [...activeJob.parts.values()];
	const hasFailed = parts.some(
		(part) => !part.isDone && part.failures >= activeJob.job.attempts && !stepOf(activeJob, part).longRunning,
	);
	const hasCrashed = parts.some((part) => !part.isDone && hasReachedCrashLimit(part));
	const hasCompleted = isComplete(activeJob);
	if (activeJob.isCancelled || hasFailed || hasCrashed || hasCompleted) {
		activeJob.outcome = hasCompleted ? 'completed' : activeJob.isCancelled ? 'cancelled' : 'failed';
		activeJob.failure = activeJob.outcome === 'failed' ? (hasCrashed ? 'worker-crashes' : 'failed-runs') : undefined;
		activeJob.endedMs = nowMs;
		activeJob.changes += 1;
	}
};

/** Cancels the job at the request of a caller; an outcome that is already set stays. */
export const cancelJob = (activeJob: ActiveJob, nowMs: number): void => {
	activeJob.isCancelled = true;
	updateOutcome(activeJob, nowMs);
};

/** Makes `cancelled` the outcome of a job whose cancellation was stored before any other outcome. */
export const overruleOutcome = (activeJob: ActiveJob, nowMs: number): void => {
	activeJob.isCancelled = true;
	activeJob.outcome = 'cancelled';
	activeJob.failure = undefined;
	activeJob.endedMs ??= nowMs;
	activeJob.changes += 1;
};

/** Whether an end changed its part or had been recorded before. */
export type EndEffect = 'counted' | 'repeated';

/**
Records the end of a run of one unit. Idempotent, since a worker may report an end again.
*/
export const recordEnd = (
	activeJob: ActiveJob,
	part: Part,
	end: Readonly<UnitRun & {how: RunEnd; checkpoint: string}>,
	nowMs: number,
): EndEffect => {
	part.placements = part.placements.filter(
		(placement) => placement.workerId !== end.workerId || placement.index !== end.index || placement.run !== end.run,
	);
	markEnded(part, end);
	if (part.trialRun === end.run) {
		part.trialRun = 0;
	}

	const isFailure = end.how === 'failed' && !part.failedRuns.has(end.run);
	// A run that was started after this one's lease had expired takes precedence over its late result.
	const isResult = end.how === 'done' && part.placements.every((placement) => placement.run <= end.run);
	if (part.isDone || (end.run <= part.run && !isFailure && !isResult)) {
		return 'repeated';
	}

	activeJob.hasBegun = true;
	activeJob.changes += 1;
	if (isResult && !stepOf(activeJob, part).longRunning) {
		part.isDone = true;
		part.doneMs = nowMs;
	}

	if (isFailure) {
		part.failures += 1;
		part.failedRuns = new Set([...part.failedRuns, end.run]);
		part.avoided = new Set([...part.avoided, end.workerId]);
	}

	if (end.checkpoint && end.run >= part.run) {
		part.checkpoint = end.checkpoint;
	}

	part.run = Math.max(part.run, end.run);
	part.orderedRun = Math.max(part.orderedRun, part.run);
	updateOutcome(activeJob, nowMs);
	return 'counted';
};

/** Progress record of a job for the store. */
export const progressOf = (activeJob: ActiveJob): Progress => ({
	hasBegun: activeJob.hasBegun,
	outcome: activeJob.outcome,
	...(activeJob.failure && {failure: activeJob.failure}),
	endedMs: activeJob.endedMs,
	parts: Object.fromEntries(
		[...activeJob.settledParts.values(), ...activeJob.parts.values()]
			.filter(({run: ended, crashes, trialRun}) => ended > 0 || crashes.length > 0 || trialRun > 0)
			.map(({key, isDone, run: ended, failures, failedRuns, crashes, trialRun, checkpoint}) => [
				key,
				{
					isDone,
					run: ended,
					failures,
					failedRun: Math.max(0, ...failedRuns),
					failedRuns: [...failedRuns],
					...(crashes.length > 0 && {crashes}),
					...(trialRun > 0 && {trialRun}),
					// Nothing of an ended job is resumed.
					checkpoint: isDone || activeJob.outcome !== undefined ? '' : checkpoint,
				},
			]),
	),
});
