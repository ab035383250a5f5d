/** Why a request was refused before it was passed on, or its body given up. */
export type RefusalCause =
	'customer-share' | 'source-share' | 'memory' | 'too-slow' | 'small-pieces' | 'too-large' | 'client-left';

/** Why a connection was closed without a refusal. */
export type ClosingCause = 'connections' | 'pipelined' | 'idle' | 'timeout';

/** Limits of one process against its clients. */
export type IngressLimits = Readonly<{
	/** Memory that all requests together may hold, from the first byte of a body to its response. */
	budgetBytes: number;
	/** Part of the budget that only the single request of a customer gets. */
	reserveBytes: number;
	/** Largest part of the budget for one customer, and for one source address. */
	customerShare: number;
	sourceShare: number;
	/** Time without new bytes after which a body gives way first when room is needed. */
	stallMs: number;
	/** Average rate in bytes per second below which a body gives way first, once it has been under way for `slowGraceMs`. */
	minBodyRate: number;
	slowGraceMs: number;
	/** Bodies in many small pieces that are read at the same time. */
	maxSmallPieceBodies: number;
	/** Connections of the callers' listener, and of each other listener. */
	maxConnections: number;
	maxProbeConnections: number;
	/** Requests of one connection that were read and are not answered. */
	maxPipelined: number;
	/** Such requests of all connections together, above which a connection has one at a time. */
	maxUnanswered: number;
	/** Time for a head, and time after which an idle connection is closed. */
	headerTimeoutMs: number;
	idleTimeoutMs: number;
	maxHeaderBytes: number;
}>;

/** Resources of the machine, as far as they are known. */
export type MachineResources = Readonly<{
	memoryMb?: number | undefined;
	maxFiles?: number | undefined;
	/** Memory and heap in use at the start. */
	usedBytes: number;
	usedHeapBytes: number;
	heapLimitBytes: number;
}>;

/** Who sends a request. */
export type Sender = Readonly<{customer: string; source: string}>;
