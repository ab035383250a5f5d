import {RUN_TIME_MAX_SAMPLES, RUN_TIME_PRIOR_ERROR, RUN_TIME_PRIOR_SAMPLES} from './constants.js';

type QueueStatistics = {
	runs: number;
	/** Mean of the logarithm of run times. */
	meanLog: number;
	/** Mean squared error, in logarithms, of that mean and of the callers' estimates. */
	meanError: number;
	estimateError: number;
};

/** Expected run times of units, learnt by queue. */
export type RunTimes = Readonly<{
	observe: (queue: string, estimateMs: number, actualMs: number) => void;
	/** Expected run time of a unit that its caller estimated so. */
	expectMs: (queue: string, estimateMs: number) => number;
}>;

/**
Creates an empty record. Callers' estimates are often far off, so they are weighed against the queue's own mean, each by the error that it has shown.

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
