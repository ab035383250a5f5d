/** Workers in one request to the advice service; a job's objective allows for one request of this size for each step. */
export const ADVICE_BATCH = 30;

/** Added to the decision time of the advice service; a request that takes longer counts as failed. */
export const ADVICE_GRACE_MS = 1000;

/** Backoff after a failed request; the service refuses callers while many wait. */
export const ADVICE_RETRY_MS = 200;

/** A ticket counts as expired this long before its end, so that the start still arrives in time. */
export const TICKET_MARGIN_MS = 150;

/** Steps whose tickets are cached. */
export const ADVICE_CACHE_ENTRIES = 2000;
