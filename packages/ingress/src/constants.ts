import type {IngressLimits} from './types.js';

export const BYTES_PER_MB = 1024 * 1024;

/** Share of the memory that is free at the start, and of the free heap, that requests may hold: what the scheduler keeps grows too. */
export const BUDGET_SHARE = 0.25;

/** Limits of the derived budget; the smallest one holds one body of the default size with what it costs once parsed. */
export const MIN_BUDGET_BYTES = 2 * BYTES_PER_MB;
export const MAX_BUDGET_BYTES = 32 * BYTES_PER_MB;

export const RESERVE_SHARE = 0.25;

/** Share of the memory that is free at the start for connections, and what one costs with a head of 16 KB. */
export const CONNECTION_MEMORY_SHARE = 0.25;
export const CONNECTION_BYTES = 24 * 1024;

/** Descriptors that the platform keeps for files, and the share of the rest for callers: the leader has four connections to each worker. */
export const FILE_DESCRIPTORS = 200;
export const CONNECTION_SHARE = 0.6;
export const MIN_CONNECTIONS = 16;

/** Share of the connection limit from which connections without progress give way to new ones. */
export const CROWDED_SHARE = 0.9;

/** What a request holds beside its body while it runs: the calls to the store that it waits for, among others. */
export const RUNNING_BYTES = 32_768;

/** What a request holds that was read and is not answered. */
export const REQUEST_BYTES = 8192;

/** First size of the buffer for a body of unknown length; it doubles as bytes arrive. */
export const FIRST_BUFFER_BYTES = 4096;

/** Part of the budget that is kept, beside it, as buffers for further bodies, and the smallest one worth keeping. */
export const SPARE_BUFFERS_SHARE = 0.25;
export const MIN_SPARE_BUFFER_BYTES = 16_384;

/** A body in this many pieces of less than this many bytes on average counts as one in small pieces; no ordinary job is. */
export const SMALL_PIECES = 8192;
export const SMALL_PIECE_BYTES = 16;

/** While bodies in small pieces are refused, one counts as such after this many pieces: 8,192 take 12 ms of processor time. */
export const CROWDED_SMALL_PIECES = 256;

/** Time after the refusal of such a body for which a customer's bodies of unknown length are read only a few at a time. */
export const SMALL_PIECES_MEMORY_MS = 10_000;

/** Memory of an object or array once parsed and checked, and of a value in one. */
export const CONTAINER_BYTES = 800;
export const VALUE_BYTES = 32;

/** Depth of a JSON text; the schemas need 5. */
export const MAX_DEPTH = 32;

/** Largest share of the budget for one body once it is parsed. */
export const MAX_PARSED_SHARE = 0.5;

/** Interval at which the metrics of the ingress are updated. */
export const UPDATE_MS = 500;
export const REPORT_MS = 5000;
export const RETRY_AFTER_MS = 1000;

/** Time for which the rest of a refused body is read and dropped, so that its sender reads the refusal before the connection ends. */
export const LINGER_MS = 1000;
export const LINGER_BYTES = 65_536;

/** Connections that are read in one turn of the event loop, and the time of a turn above which they become fewer. */
export const MAX_READS_PER_TURN = 16;
export const MIN_READS_PER_TURN = 2;
export const READ_TURN_MS = 10;

export const DEFAULT_LIMITS: IngressLimits = {
	budgetBytes: MAX_BUDGET_BYTES,
	reserveBytes: MAX_BUDGET_BYTES * RESERVE_SHARE,
	customerShare: 0.5,
	sourceShare: 0.7,
	stallMs: 1000,
	minBodyRate: 256,
	slowGraceMs: 5000,
	maxSmallPieceBodies: 8,
	maxConnections: 2000,
	maxProbeConnections: 40,
	maxPipelined: 32,
	maxUnanswered: MAX_BUDGET_BYTES / REQUEST_BYTES,
	headerTimeoutMs: 10_000,
	idleTimeoutMs: 60_000,
	maxHeaderBytes: 16_384,
};

export const LIMIT_NAMES = Object.keys(DEFAULT_LIMITS) as ReadonlyArray<keyof IngressLimits>;
