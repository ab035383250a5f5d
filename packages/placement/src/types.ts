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

/** All that a decision may depend on. */
export type PlacementView = Readonly<{
	bundle: Bundle;
	/** Rack records by rack name; a declared rack without a record is empty. */
	racks: ReadonlyMap<string, RackRecord>;
	/** Queued jobs in order of submission. */
	jobs: readonly JobRecord[];
	/** Workers that do not answer; nothing is placed on them. */
	workersDown: ReadonlySet<string>;
	nowMs: number;
	/** Observed run times; without them the declared ones are used. */
	runTimes?: RunTimes;
	/** Recent ends of tasks, the evidence for quarantine. */
	taskOutcomes?: readonly TaskOutcome[];
}>;

/** Place a job; the writer sets `token` from the rack record's epoch. */
export type PlaceDecision = Readonly<{
	kind: 'place';
	rack: string;
	placement: Omit<Placement, 'token'>;
	reason: string;
}>;

/** Take a preemptible job off its accelerators, by checkpoint where it can; the writer sets `expectedEndMs` of the placement to the end of the grace. */
export type EvictDecision = Readonly<{
	kind: 'evict';
	rack: string;
	job: string;
	/** Time for the checkpoint before the tasks are stopped. */
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

/** Replace the homes of a rack. */
export type HomesDecision = Readonly<{
	kind: 'homes';
	rack: string;
	homes: RackRecord['homes'];
	reason: string;
}>;

export type Decision = PlaceDecision | EvictDecision | WaitDecision | EndDecision | HomesDecision;

/** A run of adjacent accelerators that a shape may occupy. */
export type Candidate = Readonly<{
	rack: string;
	blocks: readonly Block[];
}>;

/** Observed over declared run time of recent jobs, oldest first, by `customer/class`. */
export type RunTimes = ReadonlyMap<string, readonly number[]>;

/** How one task of a job ended on one worker. */
export type TaskOutcome = Readonly<{
	worker: string;
	job: string;
	isSuccess: boolean;
	atMs: number;
}>;

/** Seconds that a job still needs. */
export type Estimate = Readonly<{
	expectedSeconds: number;
	/** Bound that nine of ten runs of the customer and class stay below. */
	pessimisticSeconds: number;
}>;

/** What the order of the queue may depend on. */
export type Waiting = Readonly<{
	job: JobRecord;
	jobClass: JobClass;
	customer: Customer;
	estimate: Estimate;
	/** Accelerators that the customer holds at the start of the pass. */
	heldAccelerators: number;
}>;

/** A free run of accelerators as the placement scores see it. */
export type ScoredRun = Readonly<{
	accelerators: number;
	/** Free accelerators that leave every block of the largest guaranteed shape, beyond those taken. */
	brokenAccelerators: number;
	/** Accelerators taken from free blocks of the largest guaranteed shape. */
	wholeAccelerators: number;
	/** Free accelerators that remain on the first worker of the run. */
	remainingOnWorker: number;
	/** Distance between the expected end and the latest end on the same worker, in seconds. */
	endDistanceSeconds: number;
	/** Accelerators in homes of other customers. */
	borrowedAccelerators: number;
	/** Share of a home of the job's own customer that the run takes; 0 outside such homes. */
	ownHomeShare: number;
	/** True when an eviction would lose the work. */
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
	order?: (waiting: Waiting, nowMs: number) => number;
	estimate?: (job: JobRecord) => Estimate;
	scores?: readonly Score[];
}>;

/** A guaranteed shape that has no home on available workers. */
export type Shortfall = Readonly<{
	guarantee: string;
	index: number;
	customer: string;
	accelerators: number;
	reason: string;
}>;

/** Replace the quarantines of a rack. */
export type QuarantineChange = Readonly<{
	rack: string;
	quarantines: readonly WorkerQuarantine[];
	reason: string;
}>;

export type ViolationKind = 'double-booking' | 'partial-gang' | 'home-occupied' | 'home-overlap' | 'quota';

export type Violation = Readonly<{
	kind: ViolationKind;
	rack: string;
	reason: string;
}>;

/** A job that holds accelerators which another job could use. */
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
	/** The cheapest set of jobs whose end would let this one start. */
	obstacles: readonly Obstacle[];
}>;

/** An admission check of a submission; it gives the reason why the job can never run. */
export type SubmissionCheck = Readonly<{
	name: string;
	check: (bundle: Bundle, customer: string, job: JobSpecification) => string | undefined;
}>;
