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

/** A job as the caller interface returns it. */
export type JobView = Readonly<{
	id: string;
	state: 'waiting' | 'running' | 'ended';
	submittedAtMs: number;
	attempt: number;
	reason?: string;
	outcome?: JobOutcome;
}>;

/** One request's claim to an idempotency key. */
export type Claim = Readonly<Pick<ClaimRecord, 'key' | 'customer' | 'fingerprint' | 'requestId'>>;

export type ClaimResult =
	/** The request may be sent. */
	| Readonly<{kind: 'granted'}>
	/** Another request holds the key. */
	| Readonly<{kind: 'repeated'; claim: ClaimRecord}>
	/** The key belongs to a request with different content. */
	| Readonly<{kind: 'mismatched'}>;

/** Outcome of a claimed request. The verdict `not-run` releases the key. */
export type ClaimFinish = Readonly<{
	key: string;
	customer: string;
	requestId: string;
	verdict: Verdict;
	/** Response to return to duplicates of the request. */
	answer?: ClaimAnswer;
}>;

/** Store of the claims to idempotency keys. */
export type Claims = Readonly<{
	/**
	Stores a claim before its request is sent.

	@throws {ServiceError} With verdict `not-run` when the claim is not known to be stored.
	*/
	claim: (claim: Claim) => Promise<ClaimResult>;
	/** Records the outcome of a claimed request; retries internally and never throws. */
	finish: (finish: ClaimFinish) => Promise<void>;
}>;

/** The functions of an instance that the caller interface uses. */
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

/** An authenticated caller. */
export type Caller = AccessToken & Readonly<{customer: string}>;
