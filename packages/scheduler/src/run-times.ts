import {RUN_TIME_MAX_SAMPLES, RUN_TIME_PRIOR_ERROR, RUN_TIME_PRIOR_SAMPLES} from './constants.js';

type QueueStatistics = {
	runs: number;
	/** Mean of the logarithm of run times. */
	meanLog: number;
	/** Mean squared error of that mean, in logarithms. */
	meanError: number;
	/** Mean squared error of the callers' estimates, in logarithms. */
	estimateError: number;
};

/** Expected run times of units, learned by queue. */
export type RunTimes = Readonly<{
	observe: (queue: string, estimateMs: number, actualMs: number) => void;
	/** Expected run time of a unit with the given estimate of its caller. */
	expectMs: (queue: string, estimateMs: number) => number;
}>;

/**
Creates an estimator without observations. Callers' estimates are often far off, so the expected time is the logarithmic mean of the estimate and the queue's average, weighted by their past errors.

@example
```ts
const times = createRunTimes();
times.observe('ranking', 120, 2900);
times.expectMs('ranking', 150);
```
*/
export const createRunTimes = (): RunTimes => {
	const queues = new Map<string, QueueStatistics>();

	return {
		observe(queue, estimateMs, actualMs) {
			const actualLog = Math.log(Math.max(1, actualMs));
			const known = queues.get(queue);
			if (!known) {
				queues.set(queue, {
					runs: 1,
					meanLog: actualLog,
					meanError: RUN_TIME_PRIOR_ERROR,
					estimateError: RUN_TIME_PRIOR_ERROR,
				});
				return;
			}

			known.runs += 1;
			const share = Math.max(1 / (known.runs + RUN_TIME_PRIOR_SAMPLES), 1 / RUN_TIME_MAX_SAMPLES);
			const estimateLog = Math.log(Math.max(1, estimateMs));
			known.meanError += share * ((actualLog - known.meanLog) ** 2 - known.meanError);
			known.estimateError += share * ((actualLog - estimateLog) ** 2 - known.estimateError);
			known.meanLog += Math.max(1 / known.runs, 1 / RUN_TIME_MAX_SAMPLES) * (actualLog - known.meanLog);
		},
		expectMs(queue, estimateMs) {
			const known = queues.get(queue);
			if (!known) {
				return estimateMs;
			}

			const estimateWeight =
				estimateMs > 0 ? known.meanError / (known.meanError + known.estimateError + Number.EPSILON) : 0;
			const estimateLog = Math.log(Math.max(1, estimateMs));
			return Math.exp(estimateWeight * estimateLog + (1 - estimateWeight) * known.meanLog);
		},
	};
};
