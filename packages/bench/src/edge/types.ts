/** A measured value and its goal. */
export type Figure = Readonly<{
	name: string;
	goal: string;
	figure: string;
	value: number;
	isMet: boolean;
}>;

/** Command to the process that runs the platform stand-ins and the endpoints. */
export type PlatformCommand =
	| Readonly<{kind: 'configure'; runMs: number}>
	/** Resets the counters. */
	| Readonly<{kind: 'reset'}>
	| Readonly<{kind: 'stats'}>
	| Readonly<{kind: 'drain'; endpoint: string}>
	| Readonly<{kind: 'list-leaving'; endpoint: string}>
	/** The endpoint stops responding on its open connections; new connections work. */
	| Readonly<{kind: 'silence'; endpoint: string}>;

export type PlatformStats = Readonly<{
	/** Number of executions by request body. */
	runs: Readonly<Record<string, number>>;
	total: number;
	/** Total run time of requests by endpoint. */
	busyMs: Readonly<Record<string, number>>;
	elapsedMs: number;
	/** Highest number of concurrent requests by endpoint. */
	peak: Readonly<Record<string, number>>;
	/** Highest number of concurrent connections by endpoint. */
	peakConnections: Readonly<Record<string, number>>;
	/** Time from the first leaving signal to the last request received, by endpoint. */
	lastAfterLeavingMs: Readonly<Record<string, number>>;
	refused: number;
}>;

export type PlatformReady = Readonly<{storeUrl: string; listUrl: string; endpoints: Readonly<Record<string, string>>}>;

export type InstanceReady = Readonly<{address: string; peerAddress: string}>;
