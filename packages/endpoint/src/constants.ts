export const REQUEST_ID_HEADER = 'request-id';

/** Answers above this size are refused. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Endpoints tried for one request, the first one included. */
export const MAX_TRIES = 3;

export const NO_ENDPOINT_RETRY_AFTER_MS = 1000;

export const CONNECT_DEADLINE_MS = 1000;

/** An idle connection is closed after this time; a long idle one may have gone silent unnoticed. */
export const IDLE_CONNECTION_MS = 4000;

/** Retries as a fraction of all requests. */
export const RETRY_BUDGET_RATIO = 0.1;

/** Retries that may follow each other without traffic in between. */
export const RETRY_BUDGET_BURST = 10;

/** Failures in a row after which an endpoint is ejected. */
export const EJECT_AFTER_FAILURES = 5;

/** Results of an endpoint that are looked at together. */
export const HEALTH_WINDOW = 20;

/** Fraction of failures in a full window at which an endpoint is ejected. */
export const EJECT_FAILURE_RATIO = 0.5;

export const EJECTION_MIN_MS = 2000;

export const EJECTION_MAX_MS = 60_000;

/** Largest part of a service's endpoints that may be ejected at the same time, so that a fault of the callers' side does not remove them all. */
export const MAX_EJECTED_RATIO = 0.3;

/** Good answers in a row that end the probation. */
export const PROBATION_SUCCESSES = 3;

/** A missing answer counts against the endpoint only after this time; a caller's short deadline says nothing about it. */
export const MIN_EVIDENCE_MS = 1000;

/** An endpoint that refused for lack of a slot gets no request for this long. */
export const FULL_PAUSE_MS = 100;

/** An endpoint that said that it drains is tried again after this time if it is still listed as live. */
export const DRAINING_HOLD_MS = 60_000;

export const PROBE_INTERVAL_MS = 500;

/** Shortest time after which a missing answer to an idempotent request is looked for elsewhere. */
export const MIN_ATTEMPT_MS = 2000;

/** Multiple of the mean run time after which a missing answer is looked for elsewhere. */
export const ATTEMPT_RUN_TIMES = 20;

/** Weight of the newest run time in the running mean. */
export const RUN_TIME_SMOOTHING = 0.1;
