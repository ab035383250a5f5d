import type {Bundle, JobRecord} from '@bergamotgauge/model';
import {recordRunTime, type PlacementView, type RunTimes, type TaskOutcome} from '@bergamotgauge/placement';
import {allJobs, allRacks, type Context} from './context.js';

const endedAtMs = (job: JobRecord): number => job.outcome?.endedAtMs ?? 0;

/** Observed run times of jobs that ran to their end. */
const runTimesOf = (jobs: readonly JobRecord[]): RunTimes => {
	let runTimes: RunTimes = new Map();
	const succeeded = jobs.filter((job) => job.outcome?.kind === 'succeeded');
	for (const job of succeeded.toSorted((a, b) => endedAtMs(a) - endedAtMs(b))) {
		runTimes = recordRunTime(runTimes, job, job.ranSeconds);
	}

	return runTimes;
};

const taskOutcomesOf = (jobs: readonly JobRecord[]): readonly TaskOutcome[] =>
	jobs.flatMap((job) => (job.taskEnds ?? []).map((end) => ({...end, job: job.id})));

/** The scheduler's input as this instance sees it now. */
export const placementView = (context: Context, bundle: Bundle, workersDown: readonly string[]): PlacementView => {
	const jobs = allJobs(context.replica);
	return {
		bundle,
		racks: allRacks(context.replica),
		jobs: jobs
			.filter((job) => job.state === 'queued')
			.toSorted((a, b) => a.submittedAtMs - b.submittedAtMs || a.id.localeCompare(b.id)),
		workersDown: new Set(workersDown),
		nowMs: Date.now(),
		runTimes: runTimesOf(jobs),
		taskOutcomes: taskOutcomesOf(jobs),
	};
};
