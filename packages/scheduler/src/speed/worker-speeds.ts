import {
	FACTOR_STEP,
	MAX_DEVIATION,
	SIGNIFICANT_DEVIATIONS,
	SPEED_DRIFT_VARIANCE,
	SPEED_PRIOR_VARIANCE,
	UNIT_VARIANCE,
} from './constants.js';

/** A run beside which other units of its step have been measured. */
export type SpeedSample = Readonly<{
	workerId: string;
	runMs: number;
	/** Run time of the step's other units on a typical worker. */
	expectedMs: number;
	/** Number of these units. */
	compared: number;
}>;

/** What is known of a worker: mean and variance of the logarithm of its run-time factor. */
export type SpeedEstimate = Readonly<{mean: number; variance: number}>;

/** Permanent differences in speed between workers, learned from their runs. */
export type WorkerSpeeds = Readonly<{
	observe: (sample: SpeedSample) => void;
	/** Run time on the worker relative to that on a typical one: 1.8 for a worker that takes 1.8 times as long; 1 while too little is known. */
	runFactorOf: (workerId: string) => number;
	/** Forgets the workers that are not listed any more. */
	keepOnly: (isListed: (workerId: string) => boolean) => void;
	/** Numbers of workers that are slower and faster than the typical one. */
	countDiffering: () => Readonly<{slower: number; faster: number}>;
	estimates: () => ReadonlyMap<string, SpeedEstimate>;
	/** Takes over the estimates of an earlier leader for workers that have none yet. */
	restore: (estimates: ReadonlyMap<string, SpeedEstimate>) => void;
}>;

const NO_ESTIMATE: SpeedEstimate = {mean: 0, variance: SPEED_PRIOR_VARIANCE};

/** Updates the estimate by a Kalman filter; `compared` units reduce the uncertainty of what the run is compared with. */
const updateEstimate = ({mean, variance}: SpeedEstimate, {runMs, expectedMs, compared}: SpeedSample): SpeedEstimate => {
	const deviation = Math.log(Math.max(1, runMs) / Math.max(1, expectedMs));
	const observed = Math.min(MAX_DEVIATION, Math.max(-MAX_DEVIATION, deviation));
	const predicted = variance + SPEED_DRIFT_VARIANCE;
	const gain = predicted / (predicted + UNIT_VARIANCE * (1 + 1 / compared));
	return {mean: mean + gain * (observed - mean), variance: (1 - gain) * predicted};
};

/**
Creates the estimator of a fleet whose workers differ in speed for good. A run counts against other units of its step, which do about the same work, so neither a wrong estimate of a caller nor a slow job shows as a slow worker.

@example
```ts
const speeds = createWorkerSpeeds();
speeds.observe({workerId: 'w1', runMs: 3600, expectedMs: 2000, compared: 8});
speeds.runFactorOf('w1'); // above 1
```
*/
export const createWorkerSpeeds = (): WorkerSpeeds => {
	const estimates = new Map<string, SpeedEstimate>();
	/** Mean of all estimates, which is that of a typical worker; `undefined` when it has to be computed again. */
	let typicalMean: number | undefined;

	const typical = (): number => {
		if (typicalMean === undefined) {
			const sum = [...estimates.values()].reduce((total, {mean}) => total + mean, 0);
			typicalMean = estimates.size > 0 ? sum / estimates.size : 0;
		}

		return typicalMean;
	};

	const runFactorOf = (workerId: string): number => {
		const known = estimates.get(workerId);
		const deviation = known ? known.mean - typical() : 0;
		const isSignificant = known && Math.abs(deviation) > SIGNIFICANT_DEVIATIONS * Math.sqrt(known.variance);
		return isSignificant ? Math.exp(Math.round(deviation / FACTOR_STEP) * FACTOR_STEP) : 1;
	};

	return {
		observe(sample) {
			estimates.set(sample.workerId, updateEstimate(estimates.get(sample.workerId) ?? NO_ESTIMATE, sample));
			typicalMean = undefined;
		},
		runFactorOf,
		countDiffering() {
			const factors = [...estimates.keys()].map((workerId) => runFactorOf(workerId));
			return {
				slower: factors.filter((factor) => factor > 1).length,
				faster: factors.filter((factor) => factor < 1).length,
			};
		},
		keepOnly(isListed) {
			for (const workerId of [...estimates.keys()].filter((id) => !isListed(id))) {
				estimates.delete(workerId);
			}

			typicalMean = undefined;
		},
		estimates: () => estimates,
		restore(earlier) {
			for (const [workerId, estimate] of earlier) {
				if (!estimates.has(workerId)) {
					estimates.set(workerId, estimate);
				}
			}

			typicalMean = undefined;
		},
	};
};
