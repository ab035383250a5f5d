/** Frames above this size are refused, so that a broken length cannot exhaust memory. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

export const FRAME_HEADER_BYTES = 4;

export const HEARTBEAT_INTERVAL_MS = 500;

/** A member that was silent for this long is suspect. */
export const SUSPECT_AFTER_MS = 1500;

/** A member that was silent for this long is removed. */
export const REMOVE_AFTER_MS = 3000;

/** A link whose heartbeat got no answer for this long is closed and reconnected. */
export const LINK_SILENT_MS = 2000;

export const CONNECT_DEADLINE_MS = 1000;

export const CALL_DEADLINE_MS = 2000;

export const PEER_RETRY_AFTER_MS = 500;

/** Calls that may wait for their answer on one link. */
export const MAX_PENDING_CALLS = 10_000;

export const ANTI_ENTROPY_INTERVAL_MS = 2000;
