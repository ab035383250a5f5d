import type {Bundle, JobRecord} from '@bergamotgauge/model';
import {adjacentRuns} from './candidates.js';
import {eligibleWorker} from './eligibility.js';

/**
Workers on which a job is not retried: those on which it failed, as long as its shape fits the declared workers without them.

@example
```ts
avoidedWorkers(bundle, job); // ['w3']
```
*/
export const avoidedWorkers = (bundle: Bundle, job: JobRecord): readonly string[] => {
	if (job.failedOn.length === 0) {
		return [];
	}

	const isEligible = eligibleWorker(bundle, job);
	const hasOtherWorkers = bundle.racks.some(
		(rack) =>
			adjacentRuns(rack, job.accelerators, (worker) => isEligible(worker) && !job.failedOn.includes(worker.name))
				.length > 0,
	);
	return hasOtherWorkers ? job.failedOn : [];
};
