import type {JobClass, JobRecord} from '@bergamotgauge/model';
import type {EndDecision} from './types.js';

/** After this many times its maximum attempts a job ends even when all its failures were on workers that are quarantined now. */
const QUARANTINED_FAILURE_FACTOR = 2;

const end = (job: JobRecord, outcome: EndDecision['outcome']): EndDecision => ({
	kind: 'end',
	job: job.id,
	outcome,
	reason: outcome.reason,
});

/** Number of failed attempts. Counted by end time, which all tasks of one attempt share, because a job that fits few workers fails on the same workers repeatedly. */
const failedAttempts = (job: JobRecord): number =>
	new Set((job.taskEnds ?? []).filter(({isSuccess}) => !isSuccess).map(({atMs}) => atMs)).size;

/** Returns the decision to end a job that must not or need not run again: cancelled jobs, at-most-once jobs after a failure, and jobs that failed on several workers. */
export const endOfJob = (
	job: JobRecord,
	jobClass: JobClass,
	quarantined: ReadonlySet<string>,
	nowMs: number,
): EndDecision | undefined => {
	if (job.cancelRequested) {
		const verdict = job.attempt === 1 ? 'not-run' : 'may-have-run';
		return end(job, {kind: 'cancelled', verdict, reason: 'cancelled while it waited', endedAtMs: nowMs});
	}

	const failedOn = [...new Set(job.failedOn)];
	if (failedOn.length > 0 && jobClass.retryRule === 'at-most-once') {
		return end(job, {
			kind: 'failed',
			verdict: 'may-have-run',
			reason: `failed on ${failedOn.join(', ')}, and its class ${jobClass.name} runs at most once`,
			endedAtMs: nowMs,
		});
	}

	const failedOnHealthyWorkers = failedOn.filter((worker) => !quarantined.has(worker));
	const isJobFaulty = failedOnHealthyWorkers.length >= jobClass.maxAttempts;
	const maxFailures = jobClass.maxAttempts * QUARANTINED_FAILURE_FACTOR;
	return isJobFaulty || failedOn.length >= maxFailures || failedAttempts(job) >= maxFailures
		? end(job, {
				kind: 'failed',
				verdict: 'ran',
				reason: `failed on ${failedOn.length} workers (${failedOn.join(', ')}), so the fault is the job's`,
				endedAtMs: nowMs,
			})
		: undefined;
};
