import type {JobView} from '@bergamotgauge/caller';
import type {AccessToken, Bundle, JobRecord, Placement} from '@bergamotgauge/model';
import {allJobs, allRacks, bundleOf, type Context} from './context.js';
import type {JobStore} from './job-store.js';

export type JobViews = Readonly<{
	get: (customer: string, job: string) => JobView | undefined;
	list: (customer: string) => readonly JobView[];
	explain: (operator: AccessToken, job: string) => unknown;
	setReasons: (reasons: ReadonlyMap<string, string>) => void;
}>;

type Located = Readonly<{rack: string; placement: Placement}>;

/** An operator sees the jobs of its partner's customers. */
export const isJobVisible = (bundle: Bundle | undefined, operator: AccessToken, customer: string): boolean =>
	bundle?.customers.find(({name}) => name === customer)?.partner === operator.partner;

/** What callers and operators see of jobs. */
export const createJobViews = (context: Context, jobs: JobStore): JobViews => {
	let reasons: ReadonlyMap<string, string> = new Map();

	const locate = (job: JobRecord): Located | undefined => {
		for (const {rack, placements} of allRacks(context.replica).values()) {
			const placement = placements.find((candidate) => candidate.job === job.id && candidate.attempt === job.attempt);
			if (placement) {
				return {rack, placement};
			}
		}

		return undefined;
	};

	const view = (job: JobRecord): JobView => {
		const isPlaced = job.state === 'queued' && locate(job) !== undefined;
		const reason = job.state === 'queued' && !isPlaced ? reasons.get(job.id) : undefined;
		return {
			id: job.id,
			state: job.state === 'ended' ? 'ended' : isPlaced ? 'running' : 'waiting',
			submittedAtMs: job.submittedAtMs,
			attempt: job.attempt,
			...(reason !== undefined && {reason}),
			...(job.outcome && {outcome: job.outcome}),
		};
	};

	return {
		get(customer, id) {
			const job = jobs.get(id);
			return job?.customer === customer ? view(job) : undefined;
		},
		list: (customer) =>
			allJobs(context.replica)
				.filter((job) => job.customer === customer)
				.map((job) => view(job)),
		explain(operator, id) {
			const job = jobs.get(id);
			if (!job || !isJobVisible(bundleOf(context.replica), operator, job.customer)) {
				return undefined;
			}

			return {...view(job), customer: job.customer, jobClass: job.jobClass, location: locate(job)};
		},
		setReasons(next) {
			reasons = next;
		},
	};
};
