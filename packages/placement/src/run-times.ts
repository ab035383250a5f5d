import type {JobRecord} from '@bergamotgauge/model';
import {MAX_RUN_TIME_RATIO, RUN_TIME_SAMPLES} from './constants.js';
import type {Estimate, RunTimes} from './types.js';

const quantiles = new WeakMap<readonly number[], {median: number; high: number}>();

const quantilesOf = (ratios: readonly number[]) => {
	let known = quantiles.get(ratios);
	if (!known) {
		const sorted = ratios.toSorted((a, b) => a - b);
		known = {
			median: sorted[Math.floor(sorted.length / 2)]!,
			high: sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * 0.9))]!,
		};
		quantiles.set(ratios, known);
	}

	return known;
};

/**
Records the observed run time of an ended job.

@example
```ts
runTimes = recordRunTime(runTimes, job, 420);
```
*/
export const recordRunTime = (
	runTimes: RunTimes,
	job: Pick<JobRecord, 'customer' | 'jobClass' | 'declaredSeconds'>,
	ranSeconds: number,
): RunTimes => {
	const key = `${job.customer}/${job.jobClass}`;
	const ratio = ranSeconds / Math.max(1, job.declaredSeconds);
	return new Map(runTimes).set(key, [...(runTimes.get(key) ?? []), ratio].slice(-RUN_TIME_SAMPLES));
};

/**
Returns an estimator that corrects declared run times by the observed ratios of the customer and class. Time that earlier attempts ran is subtracted.

@example
```ts
correctedEstimate(view.runTimes)(job).expectedSeconds;
```
*/
export const correctedEstimate =
	(runTimes: RunTimes | undefined) =>
	(job: JobRecord): Estimate => {
		const ratios = runTimes?.get(`${job.customer}/${job.jobClass}`);
		// Fewer than eight observations say little about the tail, so until then the limit for declared run times is used.
		const known = ratios && ratios.length > 0 ? quantilesOf(ratios) : {median: 1, high: MAX_RUN_TIME_RATIO};
		const high = ratios && ratios.length >= 8 ? known.high : MAX_RUN_TIME_RATIO;
		const expected = job.declaredSeconds * known.median;
		// A job that ran past its estimate is expected to need another half of the time it has run.
		return {
			expectedSeconds: Math.max(expected - job.ranSeconds, job.ranSeconds / 2, 1),
			pessimisticSeconds: Math.max(job.declaredSeconds * high - job.ranSeconds, job.ranSeconds, 1),
		};
	};
