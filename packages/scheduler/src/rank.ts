import {dueMs, type JobRun, type Part} from './job-run.js';

/** Work later than this many times its objective counts for nobody any more. */
const HOPELESS_FACTOR = 3;

/** Steps between the ranks of two priorities; larger than any time within a day, in milliseconds. */
const PRIORITY_STEP = 1e9;

/** Added to the rank of work that will miss its objective: what can still be in time goes first. */
const LATE_STEP = 1e8;

/** Added to the rank of work that is too late to be of use. */
const HOPELESS_STEP = 1e11;

/**
Order of service of a part, lower first: by priority, then by the time at which its job should be complete. Under overload that order alone would make all work a little late, so work that will miss its objective (`slackMs` below 0) lets work that can still meet it go first; work that is too late to be of use comes last.
*/
export const rankOf = (
	run: JobRun,
	part: Part,
	{objectiveMs, slackMs, todayMs}: Readonly<{objectiveMs: number; slackMs: number; todayMs: number}>,
): number => {
	const ageMs = todayMs - dueMs(run.job, part.occurrence);
	const isHopeless = ageMs > HOPELESS_FACTOR * objectiveMs;
	const leftMs = objectiveMs - ageMs;
	return run.job.priority * PRIORITY_STEP + leftMs + (isHopeless ? HOPELESS_STEP : 0) + (slackMs < 0 ? LATE_STEP : 0);
};
