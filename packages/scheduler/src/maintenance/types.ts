import type {KeyValueStore} from '@bergamotgauge/store';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import type {Clocks} from '../clocks.js';
import type {Term} from '../election.js';

/** A machine that hosts one worker at a time; it persists across maintenance and moves between pools. */
export type Machine = Readonly<{
	id: string;
	/** Service whose units its worker runs. */
	pool: string;
	/** `upkeep` is maintenance; `down` is a failure. */
	state: 'up' | 'moving' | 'upkeep' | 'down';
	/** Its current worker incarnation; `undefined` while there is none. */
	workerId: string | undefined;
}>;

export type MachineReply =
	/** The order takes effect or has already done so. */
	| 'accepted'
	/** A newer leader has sent orders for the machine. */
	| 'stale-token'
	/** The machine is not up, or is about to leave. */
	| 'busy'
	| 'not-in-wave'
	| 'no-such-machine'
	/** The rate limit shared by all instances is exceeded. */
	| 'limited';

/** Client for the machines. Calls throw a `ServiceError` when no response comes: with verdict `not-run` if the call was never sent, else `may-have-run`. */
export type MachinePort = Readonly<{
	/** All machines of the deployment. */
	list: () => Promise<readonly Machine[]>;
	/**
	Takes the machine down for maintenance, which ends everything that runs on it at once. `maySend` is read when the order is about to be written to its connection, which it may have waited for; an order for which it returns false is never sent, and the call throws with verdict `not-run`.
	*/
	maintain: (
		order: Readonly<{machineId: string; wave: number; token: number}>,
		maySend: () => boolean,
	) => Promise<MachineReply>;
	/** Moves the machine to another pool, which ends everything that runs on it at once. */
	move: (order: Readonly<{machineId: string; pool: string; token: number}>) => Promise<MachineReply>;
}>;

/** A maintenance wave, as requested by the operators. */
export type Wave = Readonly<{
	number: number;
	machineIds: readonly string[];
	/** Time within which the maintenance of all machines should be finished. */
	durationMs: number;
	/** Machines that may be drained or down for the wave at the same time. */
	maxDown: number;
}>;

export type WaveState = 'active' | 'completed';

/** Keys and codecs of the stored waves and their states. */
export type WaveRecords = Readonly<{
	prefix: string;
	/** Decodes a wave; `undefined` for any other entry. */
	decode: (key: string, value: Uint8Array) => Wave | undefined;
	stateKey: (wave: number) => string;
	encodeState: (state: WaveState) => Uint8Array;
	decodeState: (value: Uint8Array) => WaveState | undefined;
}>;

/** Stored progress of a wave, from which the next leader continues. Machines in neither list are still due. */
export type WaveRecord = Readonly<{
	/** Wall-clock time at which a leader first loaded the wave. */
	startedMs: number;
	/** Machines whose maintenance may have been ordered and is not known to have ended. */
	ordered: readonly string[];
	/** Machines that are up again after their maintenance, or removed for good. */
	done: readonly string[];
}>;

export type WavesOptions = Readonly<{
	port: MachinePort;
	records: WaveRecords;
	store: KeyValueStore;
	term: Term;
	log: Log;
	metrics: Metrics;
	clocks: Clocks;
	/** Time that the maintenance of one machine takes. */
	maintenanceMs: () => number;
	/** Least time between orders of two leaders for one machine. */
	leaseMs: () => number;
	lostWorkOf: (machine: Machine) => number;
	isProtected: (machine: Machine) => boolean;
	/** Sets the workers to drain: they get no new work, and units that would not finish by the deadline, in monotonic time, are moved. */
	setDrainDeadlines: (deadlineByWorker: ReadonlyMap<string, number>) => void;
	/** Workers that an order may end at any time: added before it is sent, removed when they are known to have outlived it. */
	orderedWorkers: Set<string>;
	signal: AbortSignal;
}>;
