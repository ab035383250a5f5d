/** A machine that carries one worker at a time, over upkeep and moves. */
export type Machine = Readonly<{
	id: string;
	/** Service whose work it takes. */
	pool: string;
	state: 'up' | 'moving' | 'upkeep' | 'down';
	/** Its worker's present life; `undefined` while there is none. */
	workerId: string | undefined;
}>;

export type MachineReply =
	/** Carried out, now or before. */
	| 'accepted'
	/** A newer leader has given orders for the machine. */
	| 'stale-token'
	/** Not up, or about to leave. */
	| 'busy'
	| 'not-in-wave'
	| 'no-such-machine'
	/** Too many calls of all instances together. */
	| 'limited';

/** Orders about machines. They throw a `ServiceError` with verdict `may-have-run` when no answer comes. */
export type MachinePort = Readonly<{
	/** All machines of the deployment. */
	list: () => Promise<readonly Machine[]>;
	/** Takes the machine down for its upkeep; all that runs on it ends at once. */
	maintain: (order: Readonly<{machineId: string; wave: number; token: number}>) => Promise<MachineReply>;
	/** Moves the machine to another pool; all that runs on it ends at once. */
	move: (order: Readonly<{machineId: string; pool: string; token: number}>) => Promise<MachineReply>;
}>;

/** Upkeep that the operators ask for. */
export type Wave = Readonly<{
	number: number;
	machineIds: readonly string[];
	/** Time within which all machines should have had their upkeep. */
	durationMs: number;
	/** Machines that may be down for it at the same time. */
	maxDown: number;
}>;

export type WaveState = 'active' | 'completed';

/** Where waves and their states stand in the store. */
export type WaveRecords = Readonly<{
	prefix: string;
	/** `undefined` for an entry that is no wave. */
	decode: (key: string, value: Uint8Array) => Wave | undefined;
	stateKey: (wave: number) => string;
	encodeState: (state: WaveState) => Uint8Array;
	decodeState: (value: Uint8Array) => WaveState | undefined;
}>;

/** What the next leader has to know of a wave; machines that are in no list have not had their upkeep. */
export type WaveRecord = Readonly<{
	/** Time of day at which the wave was taken up. */
	startedMs: number;
	/** Machines whose upkeep may have been ordered and is not known to have ended. */
	ordered: readonly string[];
	/** Machines that are back, or gone for good. */
	done: readonly string[];
}>;
