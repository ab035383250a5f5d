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

/** The last answer is at most one interval older than the heartbeat that fails. */
export const HEARTBEAT_DEADLINE_MS = LINK_SILENT_MS - HEARTBEAT_INTERVAL_MS;

/** Next instances on the ring to which one instance sends heartbeats; one random other is added. With two, a member that fails together with one of its observers is still observed. */
export const HEARTBEAT_TARGETS = 2;

export const MEMBER_CHECK_MS = 250;

/** A check that is late by more than this shows that the process was stopped. */
export const PAUSE_MS = 1000;

/** Changed members in one heartbeat; bounds its size. */
export const MAX_UPDATES = 6;

/** Members that an instance which starts gets with the first answer. */
export const MAX_JOIN_UPDATES = 200;

/** Time for which a dead member is remembered after the list has dropped it. */
export const DEAD_MEMORY_MS = 60_000;

/** A connection without traffic for this long is closed. */
export const LINK_IDLE_MS = 10_000;

export const CONNECT_DEADLINE_MS = 1000;

export const CALL_DEADLINE_MS = 2000;

export const PEER_RETRY_AFTER_MS = 500;

/** Calls that may wait for their answer on one link. */
export const MAX_PENDING_CALLS = 10_000;

export const ANTI_ENTROPY_INTERVAL_MS = 2000;

/** Scores kept for rendezvous hashing; racks and shards times members. */
export const MAX_CACHED_SCORES = 100_000;
