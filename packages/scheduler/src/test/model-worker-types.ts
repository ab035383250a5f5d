import type {Worker, WorkerPort} from '../types.js';
import type {CallKind, WorkerFaults} from './model-worker-faults.js';

/** Whether a process answers at the worker's address: this incarnation, none, or a later one with another id. */
export type Availability = 'up' | 'down' | 'replaced';

export type RunTarget = Readonly<{unit: string; run: number}>;

/** A call to the worker, whether or not it was sent and arrived. */
export type WorkerCall = Readonly<{kind: CallKind; atMs: number}> & Partial<RunTarget>;

/** A simulated worker that follows the protocol for fencing tokens, leases, stopped runs and acknowledged ends. */
export type ModelWorker = Readonly<{
	worker: Worker;
	port: () => WorkerPort;
	faults: WorkerFaults;
	/** All calls to the worker. */
	calls: readonly WorkerCall[];
	/** Carries out the delayed calls. */
	release: () => void;
	/** Number of starts, by unit. */
	starts: ReadonlyMap<string, number>;
	/** Ends all runs as a crash does, without reporting them. Delayed calls are lost unless they are kept for a later incarnation under the same id. */
	crash: (keepsCalls?: boolean) => void;
	/** Starts a new incarnation under the same id, which knows nothing of before. */
	restart: () => void;
	/** Start time of the present incarnation; `undefined` if the worker does not report it. */
	startedMs: () => number | undefined;
	setAvailability: (availability: Availability) => void;
	running: () => ReadonlyArray<Readonly<{unit: string; run: number}>>;
	/** CPU shares that were ordered, by unit, in percent. */
	throttles: ReadonlyMap<string, number>;
	/** Tail latency to report, by unit. */
	tailLatencies: Map<string, number>;
	/** Reading of the worker's clock. */
	clockMs: () => number;
	/** Sequence of the last acknowledged end. */
	acknowledged: () => number;
}>;
