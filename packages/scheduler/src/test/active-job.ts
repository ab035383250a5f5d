import {newJob, newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import type {Job} from '@bergamotgauge/jobs';
import {createActiveJob, partOf, type ActiveJob, type Part, type Placement} from '../active-job.js';

/** Creates a job that has not begun, with changes to the accepted job. */
export const newActiveJob = (change: Partial<Job> = {}): ActiveJob =>
	createActiveJob({
		job: newJob(change),
		progress: undefined,
		progressRevision: 0,
		jobRevision: 1,
		isCancelled: false,
		nowMs: 0,
	});

/** Creates a placement on a worker that has not reported it yet, with changes. */
export const newPlacementOn = (workerId: string, change: Partial<Placement> = {}): Placement => ({
	workerId,
	index: 0,
	run: 1,
	phase: 'running',
	startedMs: 0,
	acceptedMs: 0,
	stopAcceptedMs: undefined,
	isStartUncertain: false,
	heldUntilMs: undefined,
	startExpiryMs: undefined,
	missedReports: 0,
	percent: 0,
	isFullRun: true,
	progressMs: 0,
	reportedMs: 0,
	window: undefined,
	recentFigure: undefined,
	throttlePercent: 100,
	throttleDoubtUntilMs: 0,
	isSpeedCounted: false,
	...change,
});

/** Creates a gang of `count` members, of which the first ones are placed, each on its own worker, with changes to their placements. */
export const newGang = (changes: ReadonlyArray<Partial<Placement>>, count = changes.length): Part => {
	const activeJob = newActiveJob({steps: [newStep({count, gang: true})]});
	const part = partOf(activeJob, 0, 0, 0)!;
	part.placements = changes.map((change, index) => newPlacementOn(`w${index}`, {index, ...change}));
	return part;
};
