import {
	FAILING_SHARE,
	MAX_FAILING_WORKER_SHARE,
	OUTCOME_HALF_LIFE_MS,
	PRIOR_FAILURES,
	PRIOR_RUNS,
	PROVEN_MS,
} from './constants.js';

/**
Pattern: a part of the workers fails what it starts, while its health checks are good and its load is normal. A gang fails with its first failing member, and jobs have few attempts, so each worker has to be judged after very few runs.
*/

/** Outcomes of recent runs on a worker; older ones count less. */
export type Outcomes = Readonly<{
	/** Jobs that failed on the worker, each counted once. */
	failures: number;
	successes: number;
	/** Time to which the counts are decayed. */
	countedAtMs: number;
	lastSuccessMs: number;
}>;

export const NO_OUTCOMES: Outcomes = {
	failures: 0,
	successes: 0,
	countedAtMs: 0,
	lastSuccessMs: Number.NEGATIVE_INFINITY,
};

const decay = (outcomes: Outcomes, nowMs: number): Outcomes => {
	const factor = 0.5 ** ((nowMs - outcomes.countedAtMs) / OUTCOME_HALF_LIFE_MS);
	return {
		...outcomes,
		failures: outcomes.failures * factor,
		successes: outcomes.successes * factor,
		countedAtMs: nowMs,
	};
};

export const withFailure = (outcomes: Outcomes, nowMs: number): Outcomes => {
	const current = decay(outcomes, nowMs);
	return {...current, failures: current.failures + 1};
};

export const withSuccess = (outcomes: Outcomes, nowMs: number): Outcomes => {
	const current = decay(outcomes, nowMs);
	return {...current, successes: current.successes + 1, lastSuccessMs: nowMs};
};

/**
Estimated share of runs that fail on the worker. Without recent runs it is the usual share of jobs that fail by their own fault.

@example
```ts
failureShare(withFailure(NO_OUTCOMES, now()), now()); // 0.216
```
*/
export const failureShare = (outcomes: Outcomes, nowMs: number): number => {
	const {failures, successes} = decay(outcomes, nowMs);
	return (failures + PRIOR_FAILURES) / (failures + successes + PRIOR_RUNS);
};

/**
Share of failed runs above which a worker is suspected. When many jobs fail by their own fault, failures say little about a worker, so only the workers with the highest shares are suspected.
*/
export const suspicionLimit = (shares: readonly number[]): number => {
	const sorted = shares.toSorted((a, b) => a - b);
	const index = Math.floor(sorted.length * (1 - MAX_FAILING_WORKER_SHARE));
	return Math.max(FAILING_SHARE, sorted[index] ?? 0);
};

/** From 0 for a worker that has just completed a run to 1 for one without a recent success. */
export const unprovenShare = ({lastSuccessMs}: Outcomes, nowMs: number): number =>
	Math.min(1, (nowMs - lastSuccessMs) / PROVEN_MS);
