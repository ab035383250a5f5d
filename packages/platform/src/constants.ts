export const STORE_DEADLINE_MS = 2000;

/** Added to the wait time of a watch; a watch that takes longer is treated as silent. */
export const WATCH_GRACE_MS = 2000;

export const WATCH_WAIT_MS = 10_000;

export const STORE_RETRY_AFTER_MS = 1000;

/** Version of the value envelope; instances refuse values of a newer version. */
export const VALUE_SCHEMA_VERSION = 1;

/** Writes of one key that a group commit tries before it gives up on conflicts. */
export const GROUP_COMMIT_ATTEMPTS = 10;

export const GROUP_COMMIT_MAX_WAITING = 20_000;

export const INSTANCE_LIST_POLL_MS = 1000;

/** A list with less than this share of the entries known before removes nothing. */
export const PLAUSIBLE_LIST_SHARE = 0.5;
