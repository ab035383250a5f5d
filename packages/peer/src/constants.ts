/** Larger frames are rejected, so that a corrupt length cannot exhaust memory. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

export const FRAME_HEADER_BYTES = 4;

export const HEARTBEAT_INTERVAL_MS = 500;

/** A member that has sent no heartbeat for this long is suspected. */
export const SUSPECT_AFTER_MS = 1500;

/** A member that has sent no heartbeat for this long is declared dead. */
export const DEAD_AFTER_MS = 3000;

/** A link that has received no heartbeat response for this long is closed and reconnected. */
export const LINK_TIMEOUT_MS = 2000;

/** The last response is at most one heartbeat interval older than the heartbeat that fails, so the two times add up to `LINK_TIMEOUT_MS`. */
export const HEARTBEAT_DEADLINE_MS = LINK_TIMEOUT_MS - HEARTBEAT_INTERVAL_MS;

/** Successors on the hash ring to which an instance sends heartbeats, in addition to one random member. With two, a member that fails together with one of its observers is still observed. */
export const HEARTBEAT_TARGETS = 2;

export const MEMBER_CHECK_MS = 250;

/** A member check that is late by more than this indicates that the process was suspended. */
export const PROCESS_PAUSE_THRESHOLD_MS = 1000;

/** Maximum number of changed members in one heartbeat, which limits its size. */
export const MAX_HEARTBEAT_UPDATES = 6;

/** Members in the heartbeat response to an instance that is starting. */
export const MAX_JOIN_UPDATES = 200;

/** Retention of the entry of a dead member that is no longer listed, so that late messages do not revive it. */
export const DEAD_MEMBER_RETENTION_MS = 60_000;

/** A connection without traffic for this long is closed. */
export const LINK_IDLE_MS = 10_000;

export const CONNECT_DEADLINE_MS = 1000;

export const CALL_DEADLINE_MS = 2000;

export const PEER_RETRY_AFTER_MS = 500;

/** Calls in flight on one link. */
export const MAX_PENDING_CALLS = 10_000;

export const ANTI_ENTROPY_INTERVAL_MS = 2000;

/** Cached rendezvous-hashing scores: one for each pair of a key (rack or shard) and a member. */
export const MAX_CACHED_SCORES = 100_000;
