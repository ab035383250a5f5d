/** Says whether a request, job or write may have had an effect. */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** Key and value pairs on work, workers, endpoints and instances. */
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

/** An `at-most-once` job or request is never repeated once it may have run. */
export type RetryRule = 'idempotent' | 'at-most-once';

export type Quota = Readonly<{
	/** Accelerators that all running jobs of the customer may hold together. */
	accelerators: number;
	/** Jobs that may wait at the same time. */
	queuedJobs: number;
	/** Requests to endpoints that may be in progress at the same time on one instance. */
	concurrentRequests: number;
	/** Requests that may wait for a slot at the same time on one instance. */
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

/** `count` shapes of `accelerators` adjacent accelerators each, for one customer. */
export type Guarantee = Readonly<{
	name: string;
	customer: string;
	count: number;
	accelerators: number;
	workerSelector: Selector;
}>;

export type JobClass = Readonly<{
	name: string;
	/** Partner that may change the class. Applied declarations always have it. */
	partner?: string;
	urgency: Urgency;
	preemptible: boolean;
	/** Time that a checkpoint takes; 0 when the work cannot checkpoint. */
	checkpointSeconds: number;
	retryRule: RetryRule;
	defaultDeadlineSeconds: number;
	/** Attempts after which a job that fails on different workers ends as failed. */
	maxAttempts: number;
}>;

export type Worker = Readonly<{
	name: string;
	rack: string;
	/** Place in the rack; adjacent positions hold adjacent accelerators. */
	position: number;
	/** Base URL of the worker's HTTP interface; the instance list gives it where this is not set. */
	address?: string;
	availabilityZone: string;
	cores: number;
	memoryGigabytes: number;
	accelerators: number;
	guards: boolean;
	labels: Labels;
}>;

export type Rack = Readonly<{
	name: string;
	/** Partner that may change the rack. Applied declarations always have it. */
	partner?: string;
	pool: string;
	availabilityZone: string;
	workers: readonly Worker[];
}>;

/** Weights of the objectives that the placement scores combine. */
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

/** A pool with the terms in force. */
export type Pool = PoolTerms &
	Readonly<{
		name: string;
		/** Partners that declare the terms in force or declared them before they proposed others. */
		agreedBy?: readonly string[];
		/** Terms that a partner declares and to which the other partners have not agreed. */
		proposals?: ReadonlyArray<PoolTerms & Readonly<{partner: string}>>;
	}>;

/** Work of the partner's customers whose labels match `workSelector` runs only on workers that match `workerSelector`. */
export type PlacementRule = Readonly<{
	name: string;
	partner: string;
	workSelector: Selector;
	workerSelector: Selector;
}>;

/** A named group of endpoints that answer the same requests. */
export type Service = Readonly<{
	name: string;
	partner: string;
	endpointSelector: Selector;
	/** Requests that one endpoint runs concurrently. */
	slots: number;
	/** TCP connections that one endpoint accepts from all instances together. */
	connections: number;
	/** Class that a request gets when it names none. */
	defaultClass: string;
	/** Classes that a request may name. */
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

/** All that operators declare. */
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

/** The declarations in one generation; a higher generation replaces a lower one. */
export type Bundle = Declarations & Readonly<{generation: number}>;

/** A contiguous run of accelerators of one worker. */
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
	/** Guarantee and home index whose accelerators the job uses by right. */
	guarantee?: string;
	homeIndex?: number;
	blocks: readonly Block[];
	preemptible: boolean;
	phase: PlacementPhase;
	/** While evicting: the time at which tasks that have not checkpointed are stopped. */
	evictByMs?: number;
	/** Fencing token: the epoch of the rack record that added this placement. */
	token: number;
	placedAtMs: number;
	/** Expected end by corrected estimate, in ms since the epoch. */
	expectedEndMs: number;
}>;

/** The block of adjacent accelerators that one guaranteed shape can always reclaim. */
export type Home = Readonly<{
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
	/** Jobs whose failures are the evidence. */
	jobs: readonly string[];
}>;

/** Value of `racks/<rack>`: every placement in the rack. */
export type RackRecord = Readonly<{
	rack: string;
	/** Rises by one with each write of the record. */
	epoch: number;
	homes: readonly Home[];
	placements: readonly Placement[];
	quarantines: readonly WorkerQuarantine[];
}>;

export type JobOutcomeKind = 'succeeded' | 'failed' | 'cancelled' | 'unknown';

export type JobOutcome = Readonly<{
	kind: JobOutcomeKind;
	verdict: Verdict;
	reason: string;
	/** The job's answer, at most `MAX_JOB_ANSWER_BYTES` as JSON. */
	answer?: unknown;
	endedAtMs: number;
}>;

/** What a caller asks for. */
export type JobSpecification = Readonly<{
	jobClass: string;
	labels: Labels;
	accelerators: number;
	coresPerAccelerator: number;
	memoryGigabytesPerAccelerator: number;
	declaredSeconds: number;
	workerSelector: Selector;
	/** Passed to the workers unchanged. */
	payload: unknown;
}>;

/** How one task of an attempt ended on a worker; the evidence against workers that fail everything. */
export type TaskEnd = Readonly<{
	worker: string;
	isSuccess: boolean;
	atMs: number;
}>;

export type JobState = 'queued' | 'ended';

/** The one placement that may start the current attempt. */
export type Assignment = Readonly<{
	rack: string;
	token: number;
}>;

export type JobRecord = JobSpecification &
	Readonly<{
		id: string;
		customer: string;
		submittedAtMs: number;
		/** Number of the attempt that may be placed; starts at 1. */
		attempt: number;
		/** Workers on which earlier attempts failed. */
		failedOn: readonly string[];
		/** The newest ends of tasks, at most `MAX_TASK_ENDS`. */
		taskEnds?: readonly TaskEnd[];
		cancelRequested: boolean;
		/** Attempt whose checkpoint the next one continues from. */
		checkpointAttempt?: number;
		/** Written before the first task starts; two instances that place one job cannot both write it. */
		assignment?: Assignment;
		state: JobState;
		outcome?: JobOutcome;
		/** Time that ended attempts ran, for correction of the estimate. */
		ranSeconds: number;
	}>;

/** Value of `jobs/<shard>`. */
export type JobShardRecord = Readonly<{
	jobs: Readonly<Record<string, JobRecord>>;
}>;

export type ClaimState = 'claimed' | 'finished';

/** A stored answer to a non-idempotent request. */
export type ClaimAnswer = Readonly<{
	status: number;
	contentType: string;
	body: Uint8Array;
}>;

export type ClaimRecord = Readonly<{
	key: string;
	customer: string;
	/** Hash of service, path and body; a repeat with other content is refused. */
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

/** Slots of one endpoint by the incarnation of the instance that may use them. */
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
	/** `host:port`; for instances the address of the peer listener. */
	address: string;
	availabilityZone: string;
	state: ListedState;
	labels: Labels;
}>;

export type TaskState = 'prepared' | 'running' | 'checkpointed' | 'succeeded' | 'failed' | 'stopped';

/** What a worker reports of one task. */
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

/** A worker's answer to a report call. */
export type WorkerReport = Readonly<{
	worker: string;
	/** Changes when a task changes; names the point after which to wait. */
	sequence: number;
	tasks: readonly TaskReport[];
}>;
