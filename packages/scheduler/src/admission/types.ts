import type {Job} from '@bergamotgauge/jobs';
import type {ErrorCode} from '@bergamotgauge/model';
import type {Resources} from '../types.js';
import type {Demand} from './demand.js';

/** What the leader publishes about accepted work and the workers for it. */
export type Backlog = Readonly<{
	/** Memory that the accepted jobs which have not ended may need. */
	bytes: number;
	/** Memory that the leader may use for them. */
	limitBytes: number;
	/** Capacities of the largest workers that the leader has seen, by service; a service is left out until they are certain. */
	largestWorkers: Readonly<Record<string, readonly Resources[]>>;
	/** Work that waits, by service, where it waits for long. */
	demand: Readonly<Record<string, Demand>>;
}>;

/** A job that is to be admitted, and what the instance knows. */
export type AdmissionRequest = Readonly<{
	job: Job;
	/** The job is urgent and its customer's guarantee covers its initial steps. */
	isGuaranteed: boolean;
	/** As last published; `undefined` if none has been read. */
	backlog: Backlog | undefined;
	/** Time since the backlog was read, in milliseconds. */
	backlogAgeMs: number;
	/** Memory that jobs which this instance has admitted lately may need. */
	ownBytes: number;
	/** Memory that this instance could use for accepted jobs if it led. */
	limitBytes: number;
	/** A number between 0 and 1, which spreads the times at which callers return. */
	random: number;
}>;

export type RefusalReason = 'memory' | 'fleet' | 'value';

export type Refusal = Readonly<{
	reason: RefusalReason;
	message: string;
	code: ErrorCode;
	/** `undefined` if it is of no use to try again. */
	retryAfterMs: number | undefined;
}>;

/** Returns why a job is refused; `undefined` if the check has nothing against it. */
export type AdmissionCheck = (request: AdmissionRequest) => Refusal | undefined;
