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
