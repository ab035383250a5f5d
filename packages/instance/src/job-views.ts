import type {JobView} from '@bergamotgauge/caller';
import type {AccessToken, Bundle, JobRecord, Placement} from '@bergamotgauge/model';
import {explainJob} from '@bergamotgauge/placement';
import {allJobs, allRacks, bundleOf, type Context} from './context.js';
import type {JobStore} from './job-store.js';
import {placementView} from './placement-view.js';

export type JobViews = Readonly<{
	get: (customer: string, job: string) => JobView | undefined;
	list: (customer: string) => readonly JobView[];
	explain: (operator: AccessToken, job: string) => unknown;
	setWaitReasons: (reasons: ReadonlyMap<string, string>) => void;
}>;

export type JobViewOptions = Readonly<{
	context: Context;
	jobs: JobStore;
	workersDown: () => readonly string[];
}>;

type JobLocation = Readonly<{rack: string; placement: Placement}>;

/** An operator sees the jobs of its partner's customers. */
export const isJobVisible = (bundle: Bundle | undefined, operator: AccessToken, customer: string): boolean =>
	bundle?.customers.find(({name}) => name === customer)?.partner === operator.partner;

/** Creates the views of jobs that callers and operators receive. */
export const createJobViews = ({context, jobs, workersDown}: JobViewOptions): JobViews => {
	let reasons: ReadonlyMap<string, string> = new Map();

	const locate = (job: JobRecord): JobLocation | undefined => {
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
			const bundle = bundleOf(context.replica);
			if (!job || !bundle || !isJobVisible(bundle, operator, job.customer)) {
				return undefined;
			}

			const {reason, obstacles} = explainJob(placementView(context, bundle, workersDown()), id);
			return {
				...view(job),
				customer: job.customer,
				jobClass: job.jobClass,
				location: locate(job),
				reason,
				obstacles,
			};
		},
		setWaitReasons(next) {
			reasons = next;
		},
	};
};
