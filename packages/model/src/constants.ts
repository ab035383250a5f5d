/** Largest value that the platform's store accepts. */
export const STORE_VALUE_LIMIT_BYTES = 1_048_576;

/** Values stay below the store's limit by this margin, so that a record can still shrink in place. */
export const STORE_VALUE_MARGIN_BYTES = 65_536;

export const JOB_SHARD_COUNT = 16;

export const CLAIM_SHARD_COUNT = 8;

export const SLOT_SHARD_COUNT = 4;

export const MAX_JOB_ANSWER_BYTES = 4096;

export const MAX_CLAIM_ANSWER_BYTES = 1024;

/** An idempotency key older than this is refused, because its claim may be gone. */
export const CLAIM_LIFETIME_MS = 15 * 60 * 1000;

/** Ended jobs stay readable for this long. */
export const ENDED_JOB_LIFETIME_MS = 24 * 60 * 60 * 1000;

/** A rack holds at most eight workers of eight accelerators, so no gang is larger. */
export const MAX_GANG_ACCELERATORS = 64;

/** Ends of tasks that a job's record keeps. */
export const MAX_TASK_ENDS = 64;
/** Deepest nesting of decoded request bodies and declarations. */
export const MAX_DATA_DEPTH = 32;
