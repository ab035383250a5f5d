import {CLAIM_LIFETIME_MS, STORE_VALUE_LIMIT_BYTES, STORE_VALUE_MARGIN_BYTES} from '@bergamotgauge/model';

export const MAX_REQUEST_BODY_BYTES = 1024 * 1024;

export const MAX_JOB_BODY_BYTES = 64 * 1024;

/** Longest deadline that a caller may ask for. */
export const MAX_DEADLINE_MS = 10 * 60 * 1000;

/** Failed authentications of one remote address within the window, after which further ones get 429. */
export const MAX_AUTHENTICATION_FAILURES = 20;

export const AUTHENTICATION_FAILURE_WINDOW_MS = 60_000;

/** Remote addresses whose failures are counted; the least recent one is forgotten first. */
export const MAX_COUNTED_ADDRESSES = 10_000;

export const VERDICT_HEADER = 'request-verdict';

export const DEADLINE_HEADER = 'request-deadline-ms';

export const CLASS_HEADER = 'request-class';

/** Retry time that a draining or starting instance gives. */
export const NOT_ACCEPTING_RETRY_AFTER_MS = 1000;

/** Request headers that go on to the endpoint. */
export const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language', 'traceparent'] as const;

/** Endpoint headers that go back to the caller. */
export const RETURNED_HEADERS = ['content-type', 'cache-control', 'etag', 'location'] as const;

export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Set on an answer that was kept from the first request with the same idempotency key. */
export const REPLAY_HEADER = 'idempotency-replayed';

/** Clocks of callers and instances may differ by this much. */
export const CLAIM_CLOCK_MARGIN_MS = 30_000;

/**
Oldest idempotency key that is taken. A claim may be stored as early as one margin before the key's time and expire by another instance's clock, so keys end two margins before claims do.
*/
export const MAX_KEY_AGE_MS = CLAIM_LIFETIME_MS - 2 * CLAIM_CLOCK_MARGIN_MS;

/** A shard refuses claims above this estimate, which leaves room for the finish of those it holds. */
export const MAX_CLAIM_SHARD_BYTES = STORE_VALUE_LIMIT_BYTES - 2 * STORE_VALUE_MARGIN_BYTES;

/** Answers are kept only while the shard is below this estimate, so that answers do not displace claims. */
export const MAX_CLAIM_SHARD_WITH_ANSWERS_BYTES = MAX_CLAIM_SHARD_BYTES / 2;

/** Encoded field names and lengths of one claim. */
export const CLAIM_OVERHEAD_BYTES = 160;

export const CLAIM_SHARD_FULL_RETRY_AFTER_MS = 5000;

/** Retry time for the repeat of a request that is still in progress. */
export const CLAIM_IN_PROGRESS_RETRY_AFTER_MS = 1000;

/** Time that an answer waits for the release of its claim, so that an immediate repeat finds it gone. */
export const CLAIM_RELEASE_WAIT_MS = 1000;

/** Requests that may wait for a slot on one instance, of all customers together. */
export const MAX_QUEUED_REQUESTS = 4096;

/** A request that waited this long is refused, so that its caller can try another instance. */
export const MAX_QUEUE_AGE_MS = 10_000;

/** Run time that is assumed before the first answer of a service. */
export const DEFAULT_RUN_MS = 10;

/** Part of the deadline that a waiting request keeps for the way to and from its endpoint. */
export const DEADLINE_RESERVE = 0.1;

/** Mean deviations above the mean run time that a waiting request keeps in reserve, as TCP does for its retransmission timer. */
export const RUN_TIME_DEVIATIONS = 4;

/** Weight of the newest run time in the running mean. */
export const RUN_TIME_SMOOTHING = 0.05;

export const MIN_RETRY_AFTER_MS = 1000;

/** Bytes of a refused body that are read and dropped before the connection is closed. */
export const MAX_DISCARDED_BYTES = 16 * 1024 * 1024;

/** Longest time for which the rest of a refused body is read. */
export const LINGER_MS = 1000;
