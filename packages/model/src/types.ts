/** Whether a request, job or write may have had an effect. */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** Labels of jobs, requests, workers, endpoints and instances. */
export type Labels = Readonly<Record<string, string>>;

export type SelectorOperator = 'In' | 'NotIn' | 'Exists' | 'DoesNotExist';

export type SelectorExpression = Readonly<{
	key: string;
	operator: SelectorOperator;
	values?: readonly string[];
}>;

/** Matches labels. An empty selector matches everything. */
export type Selector = Readonly<{
	matchLabels?: Labels;
	matchExpressions?: readonly SelectorExpression[];
}>;

export type Urgency = 'urgent' | 'normal' | 'batch';

/** An `at-most-once` job or request is never retried once it may have run. */
export type RetryRule = 'idempotent' | 'at-most-once';

export type Quota = Readonly<{
	/** Total accelerators that the customer's running jobs may hold. */
	accelerators: number;
	/** Jobs that may be queued at the same time. */
	queuedJobs: number;
	/** Requests to endpoints that may be in progress at the same time on one instance. */
	concurrentRequests: number;
	/** Requests that may be queued for a slot at the same time on one instance. */
	queuedRequests: number;
}>;

export type Customer = Readonly<{
	name: string;
	partner: string;
	/** Relative share of contended capacity. */
	weight: number;
	quota: Quota;
	labels: Labels;
}>;

/** Guaranteed capacity of one customer: `count` blocks of `accelerators` adjacent accelerators each. */
export type Guarantee = Readonly<{
	name: string;
	customer: string;
	count: number;
	accelerators: number;
	workerSelector: Selector;
}>;

export type JobClass = Readonly<{
	name: string;
	/** Partner that may change the class; always set in applied declarations. */
	partner?: string;
	urgency: Urgency;
	preemptible: boolean;
	/** Duration of a checkpoint; 0 when the job cannot checkpoint. */
	checkpointSeconds: number;
	retryRule: RetryRule;
	defaultDeadlineSeconds: number;
	/** Attempts, on different workers, after which a failing job ends as failed. */
	maxAttempts: number;
}>;

export type Worker = Readonly<{
	name: string;
	rack: string;
	/** Position in the rack; the accelerators of adjacent positions are adjacent. */
	position: number;
	/** Base URL of the worker's HTTP API; taken from the instance list when not set. */
	address?: string;
	availabilityZone: string;
	cores: number;
	memoryGigabytes: number;
	accelerators: number;
	/** Whether the worker itself enforces the declared cores and memory of its tasks; if false, the instances enforce them. */
	guards: boolean;
	labels: Labels;
}>;

export type Rack = Readonly<{
	name: string;
	/** Partner that may change the rack; always set in applied declarations. */
	partner?: string;
	pool: string;
	availabilityZone: string;
	workers: readonly Worker[];
}>;

/** Weights of the objectives in the placement score. */
export type Weights = Readonly<{
	completionTime: number;
	fragmentation: number;
}>;

export type PoolShare = Readonly<{
	partner: string;
	/** Fraction of the pool's accelerators, 0 to 1. */
	share: number;
}>;

export type PoolTerms = Readonly<{
	weights: Weights;
	shares: readonly PoolShare[];
}>;

/** A pool with its effective terms. */
export type Pool = PoolTerms &
	Readonly<{
		name: string;
		/** Partners that declare the effective terms, or declared them before they proposed other terms. */
		agreedBy?: readonly string[];
		/** Terms that a partner has declared and the other partners have not yet agreed to. */
		proposals?: ReadonlyArray<PoolTerms & Readonly<{partner: string}>>;
	}>;

/** Restricts jobs of the partner's customers whose labels match `workSelector` to workers that match `workerSelector`. */
export type PlacementRule = Readonly<{
	name: string;
	partner: string;
	workSelector: Selector;
	workerSelector: Selector;
}>;

/** A named group of endpoints that serve the same requests. */
export type Service = Readonly<{
	name: string;
	partner: string;
	endpointSelector: Selector;
	/** Requests that one endpoint processes concurrently. */
	slots: number;
	/** TCP connections that one endpoint accepts in total from all instances. */
	connections: number;
	/** Class of a request that does not specify one. */
	defaultClass: string;
	/** Classes that a request may specify. */
	classes: readonly string[];
}>;

export type Role = 'caller' | 'operator';

export type AccessToken = Readonly<{
	name: string;
	/** Hex SHA-256 of the token. */
	sha256: string;
	role: Role;
	partner: string;
	/** Set for callers. */
	customer?: string;
}>;

/** Everything that operators declare. */
export type Declarations = Readonly<{
	customers: readonly Customer[];
	guarantees: readonly Guarantee[];
	jobClasses: readonly JobClass[];
	pools: readonly Pool[];
	placementRules: readonly PlacementRule[];
	racks: readonly Rack[];
	services: readonly Service[];
	tokens: readonly AccessToken[];
}>;

/** One generation of the declarations; a higher generation replaces a lower one. */
export type Bundle = Declarations & Readonly<{generation: number}>;

/** A contiguous range of accelerators of one worker. */
export type Block = Readonly<{
	worker: string;
	first: number;
	count: number;
}>;

export type PlacementPhase = 'placed' | 'evicting';

/** The accelerators that one attempt of a job holds, all in one rack. */
export type Placement = Readonly<{
	job: string;
	attempt: number;
	customer: string;
	jobClass: string;
	/** The guarantee and the index of the reserved block that entitle the job to its accelerators; unset for a job that runs outside a guarantee. */
	guarantee?: string;
	homeIndex?: number;
	blocks: readonly Block[];
	preemptible: boolean;
	phase: PlacementPhase;
	/** While evicting, the time at which tasks without a checkpoint are stopped. */
	evictByMs?: number;
	/** Fencing token: the epoch of the rack record's write that added this placement. */
	token: number;
	placedAtMs: number;
	/** Expected end according to the corrected run-time estimate. */
	expectedEndMs: number;
}>;

/** A reserved block: adjacent accelerators that one block of a guarantee can always reclaim. */
export type ReservedBlock = Readonly<{
	guarantee: string;
	index: number;
	customer: string;
	blocks: readonly Block[];
}>;

export type QuarantineState = 'quarantined' | 'probation';

export type WorkerQuarantine = Readonly<{
	worker: string;
	state: QuarantineState;
	untilMs: number;
	/** Jobs whose failures led to the quarantine. */
	jobs: readonly string[];
}>;

/** Value of `racks/<rack>`: every placement in the rack. */
export type RackRecord = Readonly<{
	rack: string;
	/** Incremented with each write of the record. */
	epoch: number;
	/** Reserved blocks in the rack. */
	homes: readonly ReservedBlock[];
	placements: readonly Placement[];
	quarantines: readonly WorkerQuarantine[];
}>;

export type JobOutcomeKind = 'succeeded' | 'failed' | 'cancelled' | 'unknown';

export type JobOutcome = Readonly<{
	kind: JobOutcomeKind;
	verdict: Verdict;
	reason: string;
	/** The job's result, at most `MAX_JOB_ANSWER_BYTES` as JSON. */
	answer?: unknown;
	endedAtMs: number;
}>;

/** A job as a caller submits it. */
export type JobSpecification = Readonly<{
	jobClass: string;
	labels: Labels;
	accelerators: number;
	coresPerAccelerator: number;
	memoryGigabytesPerAccelerator: number;
	declaredSeconds: number;
	workerSelector: Selector;
	/** Opaque data, passed to the workers unchanged. */
	payload: unknown;
}>;

/** How one task of an attempt ended on a worker. Workers that fail every task are detected from these. */
export type TaskEnd = Readonly<{
	worker: string;
	isSuccess: boolean;
	atMs: number;
}>;

export type JobState = 'queued' | 'ended';

/** Identifies the only placement that may start the current attempt. */
export type Assignment = Readonly<{
	rack: string;
	token: number;
}>;

export type JobRecord = JobSpecification &
	Readonly<{
		id: string;
		customer: string;
		submittedAtMs: number;
		/** Number of the current attempt; starts at 1. */
		attempt: number;
		/** Workers on which earlier attempts failed. */
		failedOn: readonly string[];
		/** The most recent task ends, at most `MAX_TASK_ENDS`. */
		taskEnds?: readonly TaskEnd[];
		cancelRequested: boolean;
		/** Attempt from whose checkpoint the next attempt resumes. */
		checkpointAttempt?: number;
		/** Written before the first task starts. When two instances place the same job, only one of them can write it. */
		assignment?: Assignment;
		state: JobState;
		outcome?: JobOutcome;
		/** Total run time of ended attempts, used to correct the run-time estimate. */
		ranSeconds: number;
	}>;

/** Value of `jobs/<shard>`. */
export type JobShardRecord = Readonly<{
	jobs: Readonly<Record<string, JobRecord>>;
}>;

export type ClaimState = 'claimed' | 'finished';

/** The stored response to a non-idempotent request. */
export type ClaimAnswer = Readonly<{
	status: number;
	contentType: string;
	body: Uint8Array;
}>;

export type ClaimRecord = Readonly<{
	key: string;
	customer: string;
	/** Hash of service, class, method, path, content type and body; reuse of the key with different content is rejected. */
	fingerprint: string;
	requestId: string;
	state: ClaimState;
	verdict: Verdict;
	claimedAtMs: number;
	answer?: ClaimAnswer;
}>;

/** Value of `claims/<shard>`. */
export type ClaimShardRecord = Readonly<{
	claims: Readonly<Record<string, ClaimRecord>>;
}>;

/** The slots of one endpoint and their shares by instance incarnation. */
export type EndpointShares = Readonly<{
	slots: number;
	shares: Readonly<Record<string, number>>;
}>;

/** Value of `slots/<shard>`. */
export type SlotShardRecord = Readonly<{
	endpoints: Readonly<Record<string, EndpointShares>>;
}>;

export type ListedRole = 'instance' | 'endpoint' | 'worker';

export type ListedState = 'live' | 'leaving';

/** An entry of the platform's instance list. */
export type ListedInstance = Readonly<{
	id: string;
	role: ListedRole;
	/** `host:port`; for instances, that of the peer listener. */
	address: string;
	availabilityZone: string;
	state: ListedState;
	labels: Labels;
}>;

export type TaskState = 'prepared' | 'running' | 'checkpointed' | 'succeeded' | 'failed' | 'stopped';

/** A worker's report on one task. */
export type TaskReport = Readonly<{
	job: string;
	attempt: number;
	token: number;
	state: TaskState;
	coresUsed: number;
	memoryGigabytesUsed: number;
	answer?: unknown;
	reason?: string;
}>;

/** A worker's response to a report call. */
export type WorkerReport = Readonly<{
	worker: string;
	/** Changes whenever a task changes; a long-polling report call waits for a change after it. */
	sequence: number;
	tasks: readonly TaskReport[];
}>;
