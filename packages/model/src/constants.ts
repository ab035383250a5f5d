/** Size limit of a value in the platform's store. */
export const STORE_VALUE_LIMIT_BYTES = 1_048_576;

/** Values stay below the store's size limit by this margin, so that a full record can still be written in order to shrink it. */
export const STORE_VALUE_MARGIN_BYTES = 65_536;

/** The shard counts determine the store key of each record. */
export const JOB_SHARD_COUNT = 16;

export const CLAIM_SHARD_COUNT = 8;

export const SLOT_SHARD_COUNT = 4;

/** Largest result that a job's record stores, as JSON. */
export const MAX_JOB_ANSWER_BYTES = 4096;

/** Largest response body that a claim stores for replay. */
export const MAX_CLAIM_ANSWER_BYTES = 1024;

/** An idempotency key older than this is rejected, because its claim may already have been removed. */
export const CLAIM_RETENTION_MS = 15 * 60 * 1000;

/** Retention period of the records of ended jobs. */
export const ENDED_JOB_RETENTION_MS = 24 * 60 * 60 * 1000;

/** A rack holds at most eight workers of eight accelerators, so no gang is larger. */
export const MAX_GANG_ACCELERATORS = 64;

/** Task ends that a job's record retains; older ones are dropped. */
export const MAX_TASK_ENDS = 64;

/** Greatest nesting depth of decoded request bodies and declarations. */
export const MAX_DATA_DEPTH = 32;
