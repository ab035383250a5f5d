import type {
	AccessToken,
	Bundle,
	ClaimAnswer,
	ClaimRecord,
	JobOutcome,
	JobRecord,
	JobSpecification,
	Verdict,
} from '@bergamotgauge/model';
import type {Admission} from './admission.js';

/** What a caller sees of a job. */
export type JobView = Readonly<{
	id: string;
	state: 'waiting' | 'running' | 'ended';
	submittedAtMs: number;
	attempt: number;
	reason?: string;
	outcome?: JobOutcome;
}>;

/** The right of one request to use an idempotency key. */
export type Claim = Readonly<Pick<ClaimRecord, 'key' | 'customer' | 'fingerprint' | 'requestId'>>;

export type ClaimResult =
	/** The request may be sent. */
	| Readonly<{kind: 'granted'}>
	/** Another request holds the key. */
	| Readonly<{kind: 'repeated'; claim: ClaimRecord}>
	/** The key belongs to a request with other content. */
	| Readonly<{kind: 'mismatched'}>;

/** How the request of a claim ended. `not-run` gives the key free. */
export type ClaimFinish = Readonly<{
	key: string;
	customer: string;
	requestId: string;
	verdict: Verdict;
	answer?: ClaimAnswer;
}>;

/** Stores claims of idempotency keys. */
export type Claims = Readonly<{
	/**
	Stores a claim before its request is sent.

	@throws {ServiceError} With verdict `not-run` when the claim is not known to be stored.
	*/
	claim: (claim: Claim) => Promise<ClaimResult>;
	/** Records the end of a claimed request; tries again on its own and never throws. */
	finish: (finish: ClaimFinish) => Promise<void>;
}>;

/** What the caller interface needs of an instance. */
export type CallerService = Readonly<{
	bundle: () => Bundle | undefined;
	/** False while the instance starts or drains; new work is then refused. */
	isAccepting: () => boolean;
	submitJob: (customer: string, specification: JobSpecification) => Promise<JobRecord>;
	findJob: (customer: string, job: string) => Promise<JobView | undefined>;
	listJobs: (customer: string) => readonly JobView[];
	claims: Claims;
	admission: Admission;
	cancelJob: (customer: string, job: string) => Promise<JobView | undefined>;
}>;

export type Caller = AccessToken & Readonly<{customer: string}>;
