/** One measured figure beside its goal. */
export type Figure = Readonly<{
	name: string;
	goal: string;
	figure: string;
	value: number;
	isMet: boolean;
}>;

/** What the process with the platform and the endpoints can be told. */
export type PlatformCommand =
	| Readonly<{kind: 'configure'; runMs: number}>
	/** Starts the counts anew. */
	| Readonly<{kind: 'reset'}>
	| Readonly<{kind: 'stats'}>
	| Readonly<{kind: 'drain'; endpoint: string}>
	| Readonly<{kind: 'list-leaving'; endpoint: string}>
	/** Open connections of the endpoint give no answer any more; new ones work. */
	| Readonly<{kind: 'silence'; endpoint: string}>;

export type PlatformStats = Readonly<{
	/** Runs by body. */
	runs: Readonly<Record<string, number>>;
	total: number;
	/** Sum of the run times by endpoint. */
	busyMs: Readonly<Record<string, number>>;
	elapsedMs: number;
	/** Most requests that ran at the same time, by endpoint. */
	peak: Readonly<Record<string, number>>;
	/** Most connections that were open at the same time, by endpoint. */
	peakConnections: Readonly<Record<string, number>>;
	/** Time of the last request taken after the first sign of leaving, by endpoint. */
	lastAfterLeavingMs: Readonly<Record<string, number>>;
	refused: number;
}>;

export type PlatformReady = Readonly<{storeUrl: string; listUrl: string; endpoints: Readonly<Record<string, string>>}>;

export type InstanceReady = Readonly<{address: string; peerAddress: string}>;
