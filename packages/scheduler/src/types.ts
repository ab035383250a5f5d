import type {AdviceTerms, RunEnd, Submission} from '@bergamotgauge/jobs';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import type {KeyValueStore} from '@bergamotgauge/store';
import type {MachinePort, WaveRecords} from './maintenance/types.js';

/** Room on a worker, or what a unit needs of it. */
export type Room = Readonly<{cpuMillis: number; memoryMb: number; accelerators: number}>;

/** One life of a worker, as its own report describes it. */
export type Worker = Readonly<{
	id: string;
	address: string;
	service: string;
	availabilityZone: string;
	state: 'ready' | 'draining';
	capacity: Room;
	/** Kind, rack and other labels. */
	labels: readonly string[];
	rack: string;
	/** Least time left to a draining worker; `undefined` when it is not draining or does not say. */
	remainingMs: number | undefined;
}>;

/** Why a worker refused a start. */
export type StartRefusal =
	/** The fencing token is older than one that the worker has seen. */
	| 'stale-token'
	/** The run is not newer than one that has ended or was stopped there. */
	| 'old-run'
	/** The lease would end in the past. */
	| 'late'
	| 'no-room'
	| 'no-ticket'
	/** The worker is unhealthy and has done nothing. */
	| 'unhealthy'
	/** Another life of the worker answers at the address. */
	| 'other-life'
	/** The order is malformed in the worker's view. */
	| 'malformed';

/** Answer of a worker to an order; `clockMs` is the worker's clock. */
export type OrderReply =
	| Readonly<{outcome: 'accepted'; clockMs: number | undefined}>
	| Readonly<{outcome: 'refused'; reason: StartRefusal; clockMs: number | undefined}>;

export type StartOrder = Readonly<{
	unit: string;
	run: number;
	spec: string;
	/** End of the lease on the worker's clock. */
	leaseUntilMs: number;
	token: number;
	checkpoint: string;
	/** Approval of the advice service for the step on this worker, where its queue needs one. */
	ticket?: string;
}>;

/** A run on a worker. */
export type RunningUnit = Readonly<{
	unit: string;
	run: number;
	checkpoint: string;
	percent: number;
	/**
	Rough figure for the last half second: for a unit with users of its own the tail of its response times in milliseconds, for any other the thousandths of a core in use.
	*/
	recentFigure?: number | undefined;
}>;

/** A run that has ended on a worker; `sequence` counts the ends of one life of the worker. */
export type EndedUnit = Readonly<{sequence: number; unit: string; run: number; how: RunEnd; checkpoint: string}>;

export type WorkerReport =
	| Readonly<{
			outcome: 'accepted';
			clockMs: number;
			running: readonly RunningUnit[];
			ended: readonly EndedUnit[];
	  }>
	| Readonly<{outcome: 'refused'; reason: StartRefusal}>;

export type HoldOrder = Readonly<{
	token: number;
	/** Ends up to this sequence are stored and may be forgotten by the worker. */
	notedSequence: number;
	leaseUntilMs?: number;
	/** Time that the worker may wait for an end before it answers. */
	waitMs: number;
}>;

/** Orders to one life of a worker. They throw a `ServiceError` with verdict `may-have-run` when no answer comes. */
export type WorkerPort = Readonly<{
	start: (order: StartOrder) => Promise<OrderReply>;
	stop: (order: Readonly<{unit: string; run: number; token: number}>) => Promise<OrderReply>;
	/** Lets a unit work at a share of its speed, in percent; it keeps its memory. */
	pace: (order: Readonly<{unit: string; run: number; percent: number; token: number}>) => Promise<OrderReply>;
	/** Extends the lease and reads what runs and what has ended. */
	hold: (order: HoldOrder, signal: AbortSignal) => Promise<WorkerReport>;
	close: () => void;
}>;

/** Workers that may run a step. */
export type Advice = Readonly<{
	/** Tickets for the approved workers, by worker. */
	tickets: ReadonlyMap<string, string>;
	validMs: number;
}>;

/** The service that decides which workers may run a step. */
export type AdvicePort = Readonly<{
	ask: (stepId: string, workerIds: readonly string[], deadlineMs: number) => Promise<Advice>;
}>;

/** A queue as the operators declare it. */
export type Queue = Readonly<{
	name: string;
	service: string;
	priority: number;
	attempts: number;
	stretch: number;
	targetLatencyMs: number;
	/** Set where units may run only on workers that the advice service approves. */
	advice: AdviceTerms | undefined;
	/** Calls need no key. */
	isPublic: boolean;
}>;

export type Customer = Readonly<{name: string; guaranteedAccelerators: number; priority: number}>;

/** The operators' declarations in force. */
export type Declarations = Readonly<{
	version: number;
	queues: readonly Queue[];
	customers: readonly Customer[];
}>;

/** Bounds of the deployment, in milliseconds unless the name says otherwise. */
export type Bounds = Readonly<{
	/** Longest lease that a worker grants. */
	maxLeaseMs: number;
	stopMs: number;
	/** Factor on the run time of a unit away from its data or of a gang across racks. */
	remoteFactor: number;
	/** Time for which the state of an ended job can be read. */
	stateRetentionMs: number;
	/** Time within which a revoked key must be refused. */
	revocationMs: number;
	reclaimMs: number;
	graceMs: number;
	/** Time for which units may be kept over their response target by units that use what others leave. */
	harmMs: number;
	/** Time that the upkeep of a machine takes. */
	upkeepMs: number;
}>;

export type SchedulerContext = Readonly<{
	instanceId: string;
	/** Cores that the instance may use. */
	cores: number;
	store: KeyValueStore;
	bounds: Bounds;
	log: Log;
	metrics: Metrics;
	declarations: () => Declarations | undefined;
	/** Opens the orders to one life of a worker. */
	connectWorker: (worker: Worker) => WorkerPort;
	/** `undefined` where the deployment has no such service. */
	advice: AdvicePort | undefined;
	/** Orders about the workers' machines; `undefined` where the deployment takes none. */
	machines: MachinePort | undefined;
	waves: WaveRecords;
	/** Decodes a worker's own report; `undefined` for one that names no usable worker. */
	decodeWorker: (key: string, value: Uint8Array) => Worker | undefined;
	/** Prefix of the workers' reports in the store. */
	workerPrefix: string;
}>;

/** Identity of a caller for one queue. */
export type JobRequest = Readonly<{queue: Queue; customer: string; submission: Submission}>;
