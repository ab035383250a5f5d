import {
	FAILED_JOBS_LIMIT,
	REFUSAL_PAUSE_MS,
	SLOW_SUSPICION_MS,
	SUSPICION_MAX_MS,
	SUSPICION_MIN_MS,
} from './constants.js';
import {recordOf, type LeaderState, type WorkerRecord} from './leader-state.js';
import type {StartRefusal} from './types.js';

/** Each suspicion in a row lasts twice as long as the one before, so that a worker returns and a broken one costs little. */
const suspect = (record: WorkerRecord, nowMs: number) => {
	record.suspectUntilMs = nowMs + Math.min(SUSPICION_MAX_MS, SUSPICION_MIN_MS * 2 ** record.suspicions);
	record.suspicions += 1;
};

/**
A failed run counts against the worker once for each job, since a job that can never run fails everywhere.
*/
export const noteFailure = (state: LeaderState, workerId: string, jobId: string, nowMs: number): void => {
	const record = recordOf(state, workerId);
	record.failedJobs.add(jobId);
	if (record.failedJobs.size >= FAILED_JOBS_LIMIT) {
		record.failedJobs.clear();
		suspect(record, nowMs);
	}
};

export const noteSuccess = (state: LeaderState, workerId: string): void => {
	const record = recordOf(state, workerId);
	record.failedJobs.clear();
	record.suspicions = 0;
	record.suspectUntilMs = 0;
};

/** A unit on the worker stands still. */
export const noteStall = (state: LeaderState, workerId: string, nowMs: number): void => {
	suspect(recordOf(state, workerId), nowMs);
};

export const noteRefusal = (state: LeaderState, workerId: string, reason: StartRefusal, nowMs: number): void => {
	const record = recordOf(state, workerId);
	record.pausedUntilMs = nowMs + REFUSAL_PAUSE_MS;
	if (reason === 'unhealthy') {
		suspect(record, nowMs);
	}
};

/** Units on the worker take far longer than elsewhere. Called again while they do, which keeps up the suspicion. */
export const noteSlow = (state: LeaderState, workerId: string, nowMs: number): void => {
	const record = recordOf(state, workerId);
	if (record.slowUntilMs <= nowMs) {
		record.slowTimes += 1;
	}

	const lengthMs = Math.min(SUSPICION_MAX_MS, SLOW_SUSPICION_MS * 2 ** (record.slowTimes - 1));
	record.slowUntilMs = nowMs + lengthMs;
};

/** Units on the worker run at their expected speed. */
export const noteSound = (state: LeaderState, workerId: string): void => {
	const record = recordOf(state, workerId);
	record.slowUntilMs = 0;
	record.slowTimes = 0;
};

export const isSlow = (state: LeaderState, workerId: string, nowMs: number): boolean =>
	recordOf(state, workerId).slowUntilMs > nowMs;
