import {REFUSAL_PAUSE_MS, SLOW_SUSPICION_MS, SUSPICION_MAX_MS, SUSPICION_MIN_MS} from './constants.js';
import {withFailure, withSuccess} from './failing-workers.js';
import {workerHealthOf, type LeaderState, type WorkerHealth} from './leader-state.js';
import type {StartRefusal} from './types.js';

/** Suspicion backs off exponentially: a recovered worker returns soon, and a broken one is rarely retried. */
const suspect = (health: WorkerHealth, nowMs: number) => {
	health.suspectUntilMs = nowMs + Math.min(SUSPICION_MAX_MS, SUSPICION_MIN_MS * 2 ** health.suspicions);
	health.suspicions += 1;
};

/** Counts a failed run against the worker, once for each job, since units of a job often fail for the same reason. */
export const recordFailure = (state: LeaderState, workerId: string, jobId: string, nowMs: number): void => {
	const health = workerHealthOf(state, workerId);
	if (!health.failedJobs.has(jobId)) {
		health.failedJobs.add(jobId);
		health.outcomes = withFailure(health.outcomes, nowMs);
	}
};

export const recordSuccess = (state: LeaderState, workerId: string, nowMs: number): void => {
	const health = workerHealthOf(state, workerId);
	health.outcomes = withSuccess(health.outcomes, nowMs);
	health.suspicions = 0;
	health.suspectUntilMs = 0;
};

/** Records that a unit on the worker has stalled. */
export const recordStall = (state: LeaderState, workerId: string, nowMs: number): void => {
	suspect(workerHealthOf(state, workerId), nowMs);
};

export const recordRefusal = (state: LeaderState, workerId: string, reason: StartRefusal, nowMs: number): void => {
	const health = workerHealthOf(state, workerId);
	health.pausedUntilMs = nowMs + REFUSAL_PAUSE_MS;
	if (reason === 'unhealthy' || reason === 'unreachable') {
		suspect(health, nowMs);
	}
};

/** Records that units on the worker take far longer than elsewhere. Repeated calls extend the suspicion. */
export const recordSlow = (state: LeaderState, workerId: string, nowMs: number): void => {
	const health = workerHealthOf(state, workerId);
	if (health.slowUntilMs <= nowMs) {
		health.slowTimes += 1;
	}

	const lengthMs = Math.min(SUSPICION_MAX_MS, SLOW_SUSPICION_MS * 2 ** (health.slowTimes - 1));
	health.slowUntilMs = nowMs + lengthMs;
};

/** Records that units on the worker run at their expected speed. */
export const recordNormalSpeed = (state: LeaderState, workerId: string): void => {
	const health = workerHealthOf(state, workerId);
	health.slowUntilMs = 0;
	health.slowTimes = 0;
};

export const isSlow = (state: LeaderState, workerId: string, nowMs: number): boolean =>
	workerHealthOf(state, workerId).slowUntilMs > nowMs;
