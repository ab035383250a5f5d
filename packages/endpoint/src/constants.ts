export const REQUEST_ID_HEADER = 'request-id';

/** Answers above this size are refused. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Endpoints tried for one request, the first one included. */
export const MAX_TRIES = 3;

export const NO_ENDPOINT_RETRY_AFTER_MS = 1000;

export const CONNECT_DEADLINE_MS = 1000;

/** An idle connection is closed after this time; a long idle one may have gone silent unnoticed. */
export const IDLE_CONNECTION_MS = 4000;
