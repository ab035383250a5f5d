import {CLAIM_RETENTION_MS, STORE_VALUE_LIMIT_BYTES, STORE_VALUE_MARGIN_BYTES} from '@bergamotgauge/model';

export const MAX_REQUEST_BODY_BYTES = 1024 * 1024;

export const MAX_JOB_BODY_BYTES = 64 * 1024;

/** Longest deadline that a caller may ask for. */
export const MAX_DEADLINE_MS = 10 * 60 * 1000;

/** Failed authentications per remote address and window; further ones get 429. */
export const MAX_AUTHENTICATION_FAILURES = 20;

export const AUTHENTICATION_FAILURE_WINDOW_MS = 60_000;

/** Remote addresses whose failures are counted; the least recently used one is evicted first. */
export const MAX_COUNTED_ADDRESSES = 10_000;

export const VERDICT_HEADER = 'request-verdict';

export const DEADLINE_HEADER = 'request-deadline-ms';

export const CLASS_HEADER = 'request-class';

/** Retry time in the response of an instance that is starting or draining. */
export const NOT_ACCEPTING_RETRY_AFTER_MS = 1000;

/** Request headers that are forwarded to the endpoint. */
export const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language', 'traceparent'] as const;

/** Response headers that are returned from the endpoint to the caller. */
export const RETURNED_HEADERS = ['content-type', 'cache-control', 'etag', 'location'] as const;

export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Set on a response that was stored for an earlier request with the same idempotency key. */
export const REPLAY_HEADER = 'idempotency-replayed';

/** Tolerated clock skew between callers and instances. */
export const MAX_CLOCK_SKEW_MS = 30_000;

/**
Maximum age of an accepted idempotency key. A claim may be stored up to one clock skew before the key's timestamp and expire by the clock of another instance, so keys expire two clock skews before claims do.
*/
export const MAX_KEY_AGE_MS = CLAIM_RETENTION_MS - 2 * MAX_CLOCK_SKEW_MS;

/** A shard refuses claims above this estimated size, which leaves space to record the outcome of the claims that it holds. */
export const MAX_CLAIM_SHARD_BYTES = STORE_VALUE_LIMIT_BYTES - 2 * STORE_VALUE_MARGIN_BYTES;

/** Responses are stored only while the shard is below this estimated size, so that they do not displace claims. */
export const MAX_CLAIM_SHARD_WITH_ANSWERS_BYTES = MAX_CLAIM_SHARD_BYTES / 2;

/** Estimated size of the encoded field names and lengths of one claim. */
export const CLAIM_OVERHEAD_BYTES = 160;

export const CLAIM_SHARD_FULL_RETRY_AFTER_MS = 5000;

/** Retry time for a duplicate of a request that is still in progress. */
export const CLAIM_IN_PROGRESS_RETRY_AFTER_MS = 1000;

/** Longest time that an error response waits for its claim to be released, so that an immediate retry can claim the key. */
export const CLAIM_RELEASE_WAIT_MS = 1000;

/** Requests that may wait for a slot on one instance, over all customers. */
export const MAX_QUEUED_REQUESTS = 4096;

/** A request that has waited this long is refused, so that its caller can try another instance. */
export const MAX_QUEUE_AGE_MS = 10_000;

/** Run time assumed before the first response of a service. */
export const DEFAULT_RUN_MS = 10;

/** Fraction of the deadline that is reserved for the transfer to and from the endpoint. */
export const DEADLINE_RESERVE = 0.1;

/** Number of mean deviations above the mean run time that are reserved, as in TCP's retransmission timeout (RFC 6298). */
export const RUN_TIME_DEVIATIONS = 4;

/** Weight of the newest run time in the exponential moving average. */
export const RUN_TIME_SMOOTHING = 0.05;

export const MIN_RETRY_AFTER_MS = 1000;

/** Bytes of a refused body that are read and discarded before the connection is closed. */
export const MAX_DISCARDED_BYTES = 16 * 1024 * 1024;

/** Lingering close: longest time for which the rest of a refused body is read. */
export const LINGER_MS = 1000;
