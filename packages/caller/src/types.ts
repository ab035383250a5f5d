import type {AccessToken, Bundle, JobOutcome, JobRecord, JobSpecification} from '@bergamotgauge/model';

/** What a caller sees of a job. */
export type JobView = Readonly<{
	id: string;
	state: 'waiting' | 'running' | 'ended';
	submittedAtMs: number;
	attempt: number;
	reason?: string;
	outcome?: JobOutcome;
}>;

/** What the caller interface needs of an instance. */
export type CallerService = Readonly<{
	bundle: () => Bundle | undefined;
	/** False while the instance starts or drains; new work is then refused. */
	isAccepting: () => boolean;
	submitJob: (customer: string, specification: JobSpecification) => Promise<JobRecord>;
	findJob: (customer: string, job: string) => JobView | undefined;
	listJobs: (customer: string) => readonly JobView[];
	cancelJob: (customer: string, job: string) => Promise<JobView | undefined>;
}>;

export type Caller = AccessToken & Readonly<{customer: string}>;
