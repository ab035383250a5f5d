import type {
	Block,
	Bundle,
	Customer,
	JobClass,
	JobOutcome,
	JobRecord,
	JobSpecification,
	Placement,
	RackRecord,
	Weights,
	WorkerQuarantine,
} from '@bergamotgauge/model';

/** The complete input of a placement decision. */
export type PlacementView = Readonly<{
	bundle: Bundle;
	/** Rack records by rack name; a declared rack without a record holds no placements. */
	racks: ReadonlyMap<string, RackRecord>;
	/** Queued jobs in order of submission. */
	jobs: readonly JobRecord[];
	/** Workers that do not respond; nothing is placed on them. */
	workersDown: ReadonlySet<string>;
	nowMs: number;
	/** Observed run times; without them the declared ones are used. */
	runTimes?: RunTimes;
	/** Recent task results, the evidence for quarantine. */
	taskOutcomes?: readonly TaskOutcome[];
}>;

/** Places a job; the writer sets the fencing `token` from the rack record's epoch. */
export type PlaceDecision = Readonly<{
	kind: 'place';
	rack: string;
	placement: Omit<Placement, 'token'>;
	reason: string;
}>;

/** Evicts a preemptible job, after a checkpoint where its class has one; the writer sets `expectedEndMs` of the placement to the end of the grace period. */
export type EvictDecision = Readonly<{
	kind: 'evict';
	rack: string;
	job: string;
	/** Grace period for the checkpoint before the tasks are stopped. */
	graceMs: number;
	reason: string;
}>;

/** The job stays queued. */
export type WaitDecision = Readonly<{
	kind: 'wait';
	job: string;
	reason: string;
}>;

/** The job ends without running again. */
export type EndDecision = Readonly<{
	kind: 'end';
	job: string;
	outcome: JobOutcome;
	reason: string;
}>;

/** Replaces the reserved blocks of a rack. */
export type ReservedBlocksDecision = Readonly<{
	kind: 'homes';
	rack: string;
	/** The reserved blocks, under the name that the rack record has for them. */
	homes: RackRecord['homes'];
	reason: string;
}>;

export type Decision = PlaceDecision | EvictDecision | WaitDecision | EndDecision | ReservedBlocksDecision;

/** A run of adjacent accelerators that a shape may occupy. */
export type Candidate = Readonly<{
	rack: string;
	blocks: readonly Block[];
}>;

/** Ratios of observed to declared run time of recent jobs, oldest first, by `customer/class`. */
export type RunTimes = ReadonlyMap<string, readonly number[]>;

/** Result of one task of a job on one worker. */
export type TaskOutcome = Readonly<{
	worker: string;
	job: string;
	isSuccess: boolean;
	atMs: number;
}>;

/** Estimated remaining run time of a job. */
export type Estimate = Readonly<{
	expectedSeconds: number;
	/** Upper estimate, from the 90th percentile of the runs of the same customer and class. */
	pessimisticSeconds: number;
}>;

/** Input of the queue order: a waiting job with its class, customer and estimate. */
export type WaitingJob = Readonly<{
	job: JobRecord;
	jobClass: JobClass;
	customer: Customer;
	estimate: Estimate;
	/** Accelerators that the customer uses at the start of the pass. */
	heldAccelerators: number;
}>;

/** Features of a free run of accelerators that the placement scores weigh. */
export type ScoredRun = Readonly<{
	accelerators: number;
	/** Accelerators that stay free but, once the run is taken, lie in no free block of the largest guaranteed shape any more. */
	fragmentedAccelerators: number;
	/** Accelerators of the run that lie in free blocks of the largest guaranteed shape. */
	freeBlockAccelerators: number;
	/** Free accelerators that remain on the first worker of the run. */
	remainingOnWorker: number;
	/** Distance between the expected end and the latest end on the same worker, in seconds. */
	endDistanceSeconds: number;
	/** Accelerators of the run in blocks reserved for other customers. */
	borrowedAccelerators: number;
	/** Share that the run takes of a block reserved for the job's own customer; 0 outside such blocks. */
	reservedBlockShare: number;
	/** True when the class has no checkpoint, so that an eviction loses the work done so far. */
	isCostlyToEvict: boolean;
	expectedSeconds: number;
}>;

/** One term of the placement score; the run with the lowest sum wins. */
export type Score = Readonly<{
	name: string;
	weight: (weights: Weights) => number;
	score: (run: ScoredRun) => number;
}>;

export type PassOptions = Readonly<{
	/** Higher values are considered first. */
	order?: (waiting: WaitingJob, nowMs: number) => number;
	estimate?: (job: JobRecord) => Estimate;
	scores?: readonly Score[];
}>;

/** A guaranteed shape that has no reserved block on available workers. */
export type Shortfall = Readonly<{
	guarantee: string;
	index: number;
	customer: string;
	accelerators: number;
	reason: string;
}>;

/** Replaces the quarantines of a rack. */
export type QuarantineChange = Readonly<{
	rack: string;
	quarantines: readonly WorkerQuarantine[];
	reason: string;
}>;

/** `home-occupied` and `home-overlap` concern reserved blocks: one holds another customer's non-preemptible work, or two overlap. */
export type ViolationKind = 'double-booking' | 'partial-gang' | 'home-occupied' | 'home-overlap' | 'quota';

export type Violation = Readonly<{
	kind: ViolationKind;
	rack: string;
	reason: string;
}>;

/** A job that occupies accelerators which a waiting job needs. */
export type Obstacle = Readonly<{
	job: string;
	customer: string;
	rack: string;
	accelerators: number;
	preemptible: boolean;
	expectedEndMs: number;
}>;

export type Explanation = Readonly<{
	job: string;
	state: 'running' | 'evicting' | 'starting' | 'waiting' | 'ending' | 'ended' | 'unknown';
	reason: string;
	rack?: string;
	blocks?: readonly Block[];
	/** The cheapest set of jobs whose end would allow this one to start. */
	obstacles: readonly Obstacle[];
}>;

/** An admission check of a submission; returns the reason why the job can never run. */
export type SubmissionCheck = Readonly<{
	name: string;
	check: (bundle: Bundle, customer: string, job: JobSpecification) => string | undefined;
}>;
