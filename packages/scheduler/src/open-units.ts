import {dueMs, isStepReady, readyParts, type ActiveJob} from './active-job.js';
import {MAX_OPEN_UNITS, OPEN_UNITS_AT_FIRST, OPEN_UNITS_PER_JOB} from './constants.js';
import {openReadyUnits} from './job-parts.js';

const compareUrgency = ({job: a}: ActiveJob, {job: b}: ActiveJob): number =>
	a.priority - b.priority || dueMs(a, 0) - dueMs(b, 0);

/**
Creates the parts of units that may start soon. Answers many units that wait in few jobs: a pass considers a bounded number of them, the most urgent and oldest jobs first, and each job has some, so that none waits behind jobs that cannot be placed. Returns whether units remain that could start now.

@example
```ts
const hasMore = openWaitingUnits(state.activeJobs.values());
```
*/
export const openWaitingUnits = (activeJobs: Iterable<ActiveJob>): boolean => {
	const partial = [...activeJobs].filter(
		({unopened, outcome, isCancelled}) => unopened.size > 0 && outcome === undefined && !isCancelled,
	);
	let room = MAX_OPEN_UNITS;
	for (const activeJob of partial.toSorted(compareUrgency)) {
		const ready = readyParts(activeJob).length;
		const target = Math.max(OPEN_UNITS_AT_FIRST, Math.min(OPEN_UNITS_PER_JOB, room));
		const opened = openReadyUnits(activeJob, target - ready, (occurrence, step) =>
			isStepReady(activeJob, occurrence, step),
		);
		room -= ready + opened;
	}

	return partial.some((activeJob) =>
		[...activeJob.unopened.values()].some(({occurrence, step}) => isStepReady(activeJob, occurrence, step)),
	);
};
