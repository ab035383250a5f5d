export const STORE_DEADLINE_MS = 2000;

/** Added to the wait time of a watch; a watch that takes longer is treated as silent. */
export const WATCH_GRACE_MS = 2000;

/** Two watches of this length cost one call a second for the whole fleet; a longer wait delays the detection of a silent one. */
export const WATCH_WAIT_MS = 2000;

export const STORE_RETRY_AFTER_MS = 1000;

/** Version of the value envelope; instances refuse values of a newer version. */
export const VALUE_SCHEMA_VERSION = 1;

/** Writes of one key that a group commit tries before it gives up on conflicts. */
export const GROUP_COMMIT_ATTEMPTS = 20;

export const CONFLICT_PAUSE_MIN_MS = 4;

export const CONFLICT_PAUSE_MAX_MS = 250;

export const GROUP_COMMIT_MAX_WAITING = 20_000;

export const INSTANCE_LIST_POLL_MS = 1000;

/** A list with less than this share of the entries known before removes nothing. */
export const PLAUSIBLE_LIST_SHARE = 0.5;

/** Operations that a value carries; a write is resolved as long as at most this many followed it. */
export const OPERATION_HISTORY_LENGTH = 8;

export const READ_ATTEMPTS = 3;

export const RETRY_MIN_MS = 50;

export const RETRY_MAX_MS = 1000;

/** Retries that each call adds to the budget. */
export const RETRY_BUDGET_SHARE = 0.1;

export const RETRY_BUDGET_MAX = 10;

/** Time for which a write with unknown effect is resolved. */
export const RESOLVE_DEADLINE_MS = 4000;

/** Failures in a row that open the circuit breaker. */
export const BREAKER_FAILURES = 5;

export const BREAKER_MIN_MS = 500;

export const BREAKER_MAX_MS = 2000;

/** Changes that go into one write. */
export const GROUP_COMMIT_MAX_BATCH = 500;

export const WATCH_RETRY_MIN_MS = 100;

export const WATCH_RETRY_MAX_MS = 2000;
