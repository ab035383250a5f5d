export const REQUEST_ID_HEADER = 'request-id';

/** Larger responses are refused. */
export const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Endpoints tried for one request, including the first one. */
export const MAX_ATTEMPTS = 3;

export const NO_ENDPOINT_RETRY_AFTER_MS = 1000;

export const CONNECT_TIMEOUT_MS = 1000;

/** An idle connection is closed after this time, because a connection that is idle for longer may have been dropped without notice. */
export const IDLE_CONNECTION_TIMEOUT_MS = 4000;

/** Retries as a fraction of all requests. */
export const RETRY_BUDGET_RATIO = 0.1;

/** Retries allowed in a burst, without other traffic in between. */
export const RETRY_BUDGET_BURST = 10;

/** Consecutive failures after which an endpoint is ejected. */
export const EJECT_AFTER_FAILURES = 5;

/** Number of most recent results of an endpoint from which its failure ratio is computed. */
export const HEALTH_WINDOW = 20;

/** Failure ratio of a full window at which an endpoint is ejected. */
export const EJECT_FAILURE_RATIO = 0.5;

export const EJECTION_MIN_MS = 2000;

export const EJECTION_MAX_MS = 60_000;

/** Largest fraction of a service's endpoints that may be ejected at the same time, so that a fault on the callers' side does not eject them all. */
export const MAX_EJECTED_RATIO = 0.3;

/** Successful responses after which the probation of an endpoint ends. */
export const PROBATION_SUCCESSES = 3;

/** A missing response counts as a failure of the endpoint only after this time; the expiry of a caller's short deadline is no evidence of a fault. */
export const MIN_EVIDENCE_MS = 1000;

/** Backoff after an endpoint refused a request because it had no free slot. */
export const FULL_BACKOFF_MS = 100;

/** An endpoint that reported that it is draining is used again after this time if it is still listed as live. */
export const DRAINING_EXCLUSION_MS = 60_000;

export const PROBE_INTERVAL_MS = 500;

/** Minimum time without a response after which an idempotent request is retried on another endpoint. */
export const MIN_ATTEMPT_TIMEOUT_MS = 2000;

/** Attempt timeout as a multiple of the mean run time. */
export const ATTEMPT_TIMEOUT_RUN_TIMES = 20;

/** Weight of the newest run time in the exponential moving average. */
export const RUN_TIME_SMOOTHING = 0.1;
