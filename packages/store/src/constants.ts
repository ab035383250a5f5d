export const STORE_DEADLINE_MS = 2000;

/** Added to the wait time of a watch. A watch that takes longer counts as unresponsive and fails. */
export const WATCH_GRACE_MS = 2000;

/** Long-poll wait. Two concurrent watches of this length cost one call per second for the whole fleet; a longer wait delays the detection of an unresponsive watch. */
export const WATCH_WAIT_MS = 2000;

export const STORE_RETRY_AFTER_MS = 1000;

/** Version of the value envelope. Instances reject values of a newer version. */
export const VALUE_SCHEMA_VERSION = 1;

/** Compare-and-swap attempts of a group commit before it fails because of conflicts. */
export const GROUP_COMMIT_ATTEMPTS = 20;

/** Upper limit of the random backoff after the first conflict; it doubles with each further conflict. */
export const CONFLICT_BACKOFF_MIN_MS = 4;

export const CONFLICT_BACKOFF_MAX_MS = 250;

/** Pending changes of one key; further ones are rejected as `overloaded`. */
export const GROUP_COMMIT_MAX_PENDING = 20_000;

export const INSTANCE_LIST_POLL_MS = 1000;

/** A listing that retains less than this share of the known entries is treated as incomplete and removes none of them. */
export const MIN_RETAINED_LIST_SHARE = 0.5;

/** Operations stored with a value. The outcome of a write can be resolved until its operation has dropped out of this history. */
export const OPERATION_HISTORY_LENGTH = 8;

/** Attempts of one read, the first one included. */
export const READ_ATTEMPTS = 3;

export const RETRY_MIN_MS = 50;

export const RETRY_MAX_MS = 1000;

/** Tokens that each read adds to the retry budget; one retry withdraws one token. */
export const RETRY_BUDGET_RATIO = 0.1;

/** Maximum number of tokens in the retry budget, and so of retries in a burst. */
export const RETRY_BUDGET_BURST = 10;

/** Time limit for resolving the outcome of a write whose effect is unknown. */
export const RESOLVE_DEADLINE_MS = 4000;

/** Consecutive failures that open the circuit breaker. */
export const BREAKER_FAILURES = 5;

export const BREAKER_MIN_MS = 500;

export const BREAKER_MAX_MS = 2000;

/** Maximum number of changes combined into one write. */
export const GROUP_COMMIT_MAX_BATCH = 500;

export const WATCH_RETRY_MIN_MS = 100;

export const WATCH_RETRY_MAX_MS = 2000;

/** Least time between two watches of which the first brought no change, also if the store does not wait with its response. */
export const MIN_WATCH_INTERVAL_MS = 50;
