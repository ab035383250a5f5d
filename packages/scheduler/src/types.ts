import type {AdviceTerms, RunEnd, Submission} from '@bergamotgauge/jobs';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import type {KeyValueStore} from '@bergamotgauge/store';
import type {EvacuationRequests} from './evacuation/types.js';
import type {MachinePort, WaveRecords} from './maintenance/types.js';
import type {Policy} from './policy.js';

/** Resources of a worker, or those that a unit needs. */
export type Resources = Readonly<{cpuMillis: number; memoryMb: number; accelerators: number}>;

/**
One life of a worker process. A worker may start again under the id that it had, with nothing of before; a worker that does not say when it started has one incarnation for each id.
*/
export type Incarnation = Readonly<{
	id: string;
	/** Wall-clock time of its start. */
	startedMs?: number | undefined;
}>;

/** One worker incarnation, as its own report describes it. */
export type Worker = Incarnation &
	Readonly<{
		address: string;
		service: string;
		availabilityZone: string;
		state: 'ready' | 'draining';
		capacity: Resources;
		/** Hardware kind, rack and other labels. */
		labels: readonly string[];
		rack: string;
		/** Least time until a draining worker leaves; `undefined` when it is not draining or does not say. */
		remainingMs: number | undefined;
	}>;

/** Why an order has had no effect. */
export type StartRefusal =
	/** The worker has seen a newer fencing token. */
	| 'stale-token'
	/** The run is not newer than one that has ended or was ordered to stop there. */
	| 'old-run'
	/** The lease has already expired on the worker's clock. */
	| 'late'
	/** The worker lacks free resources. */
	| 'no-room'
	/** The ticket of the advice service is missing or invalid. */
	| 'no-ticket'
	/** The worker is unhealthy and has not carried out the order. */
	| 'unhealthy'
	/** Another worker incarnation responds at the address. */
	| 'other-life'
	/** The worker cannot parse the order. */
	| 'malformed'
	/** No connection was free or could be opened in time, so the order was not sent. */
	| 'unreachable'
	/** The order no longer held before it was sent. */
	| 'withdrawn';

/** Response of a worker to an order; `clockMs` is the worker's clock. */
export type OrderReply =
	| Readonly<{outcome: 'accepted'; clockMs: number | undefined}>
	| Readonly<{outcome: 'refused'; reason: StartRefusal; clockMs: number | undefined}>;

export type StartOrder = Readonly<{
	unit: string;
	run: number;
	spec: string;
	/** End of the lease on the worker's clock. */
	leaseUntilMs: number;
	/** Fencing token. */
	token: number;
	checkpoint: string;
	/** Ticket of the advice service for the step on this worker, where its queue needs one. */
	ticket?: string;
}>;

/** A run on a worker. */
export type RunningUnit = Readonly<{
	unit: string;
	run: number;
	checkpoint: string;
	percent: number;
	/**
	Coarse measurement over the last half second: the tail latency in milliseconds of a latency-sensitive unit, the CPU usage in millicores of any other.
	*/
	recentFigure?: number | undefined;
}>;

/** A run that has ended on a worker; `sequence` counts the ends of one worker incarnation. */
export type EndedUnit = Readonly<{sequence: number; unit: string; run: number; how: RunEnd; checkpoint: string}>;

export type WorkerReport =
	| Readonly<{
			outcome: 'accepted';
			clockMs: number;
			/** Start time of the incarnation that responds; see `Incarnation`. */
			startedMs?: number | undefined;
			running: readonly RunningUnit[];
			/** Ends that are not acknowledged, the earliest first. */
			ended: readonly EndedUnit[];
			/** Whether the worker may have further ends, which it lists when these are acknowledged; left out if it lists all. */
			hasMoreEnds?: boolean;
	  }>
	| Readonly<{outcome: 'refused'; reason: StartRefusal}>;

/** A lease renewal, which also acknowledges ends of runs. */
export type LeaseRenewal = Readonly<{
	/** Fencing token. */
	token: number;
	/** Last acknowledged end; the worker may forget the ends up to it, since they are stored. */
	acknowledgedSequence: number;
	/** New end of the lease on the worker's clock; left out when the lease is not to be extended. */
	leaseUntilMs?: number;
	/** Long-poll timeout: time that the worker may wait for an end before it responds. */
	waitMs: number;
}>;

/** An order for one run. */
export type RunOrder = Readonly<{unit: string; run: number; token: number}>;

/** How a call to a worker is sent. */
export type SendOptions = Readonly<{
	signal: AbortSignal;
	/**
	Whether the call may be sent, read when it is about to be written to its connection: it may have waited for that connection longer than its reasons hold. A call for which it returns false is never sent.
	*/
	maySend: () => boolean;
}>;

/**
Orders to one worker incarnation. They throw a `ServiceError` when no response comes: with verdict `not-run` if the order was never sent, else `may-have-run`. They settle when the signal aborts, and an order that is not sent by then is never sent.
*/
export type WorkerPort = Readonly<{
	start: (order: StartOrder, options?: SendOptions) => Promise<OrderReply>;
	stop: (order: RunOrder, options?: SendOptions) => Promise<OrderReply>;
	/** Throttles a unit to a share of its CPU, in percent; it keeps its memory. */
	throttle: (order: RunOrder & Readonly<{percent: number}>, options?: SendOptions) => Promise<OrderReply>;
	/** Renews the lease and returns the active and the ended runs. */
	renewLease: (order: LeaseRenewal, options: SendOptions) => Promise<WorkerReport>;
	close: () => void;
}>;

/** Workers that may run a step. */
export type Advice = Readonly<{
	/** Tickets for the approved workers, by worker. */
	tickets: ReadonlyMap<string, string>;
	/** Validity of the tickets. */
	validMs: number;
}>;

/** The service that decides which workers may run a step. */
export type AdvicePort = Readonly<{
	ask: (stepId: string, workerIds: readonly string[], deadlineMs: number) => Promise<Advice>;
}>;

/** A queue as configured by the operators. */
export type Queue = Readonly<{
	name: string;
	service: string;
	priority: number;
	attempts: number;
	stretch: number;
	targetLatencyMs: number;
	/** Set if units may run only on workers that the advice service approves. */
	advice: AdviceTerms | undefined;
	/** Calls need no API key. */
	isPublic: boolean;
}>;

export type Customer = Readonly<{name: string; guaranteedAccelerators: number; priority: number}>;

/** The active configuration of queues and customers. */
export type Declarations = Readonly<{
	version: number;
	queues: readonly Queue[];
	customers: readonly Customer[];
}>;

/** Limits of the deployment, in milliseconds unless the name says otherwise. */
export type Bounds = Readonly<{
	/** Longest lease that a worker grants. */
	maxLeaseMs: number;
	/** Time that a worker may take to stop a run. */
	stopMs: number;
	/** Factor on the run time of a unit in another rack than its data, or of a gang across racks. */
	remoteFactor: number;
	/** Time for which the state of an ended job remains available. */
	stateRetentionMs: number;
	/** Time within which a revoked API key must be refused. */
	revocationMs: number;
	/** Time within which accelerators are reclaimed for a customer whose guarantee covers them. */
	reclaimMs: number;
	/** Grace period of a shutdown. */
	graceMs: number;
	/** Time for which best-effort units may keep latency-sensitive ones over their target: the interference limit. */
	maxInterferenceMs: number;
	/** Time that the maintenance of a machine takes. */
	maintenanceMs: number;
	/** Least time between the orders of two leaders for one machine. */
	machineLeaseMs: number;
	/** Time after the confirmation of a cancellation from which no unit of the job may start. */
	cancellationMs: number;
	/** Time after a worker's report that it drains from which no unit may start on it. */
	drainNoticeMs: number;
	/** Time after the request to evacuate an availability zone from which no unit may start there; `undefined` if the deployment has no such requests. */
	evacuationMs: number | undefined;
}>;

export type SchedulerContext = Readonly<{
	instanceId: string;
	/** Processor cores that the instance may use. */
	cores: number;
	/** Memory that the instance may use; `undefined` if only its heap is limited. */
	memoryMb?: number | undefined;
	store: KeyValueStore;
	/** Largest value that the store takes. */
	maxValueBytes: number;
	bounds: Bounds;
	log: Log;
	metrics: Metrics;
	declarations: () => Declarations | undefined;
	/** Decisions that can be replaced for experiments. */
	policy: Policy;
	/** Opens a client for one worker incarnation. */
	connectWorker: (worker: Worker) => WorkerPort;
	/** `undefined` if the deployment has no advice service. */
	advice: AdvicePort | undefined;
	/** Client for the workers' machines; `undefined` if the deployment does not manage machines. */
	machines: MachinePort | undefined;
	waves: WaveRecords;
	evacuations: EvacuationRequests;
	/** Decodes a worker report; `undefined` for one that describes no usable worker. */
	decodeWorker: (key: string, value: Uint8Array) => Worker | undefined;
	/** Key prefix of the worker reports in the store. */
	workerPrefix: string;
}>;

/** A submission with the queue and customer that it was authenticated for. */
export type JobRequest = Readonly<{queue: Queue; customer: string; submission: Submission}>;
