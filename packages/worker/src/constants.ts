/** Deadline of every call except the report call. */
export const WORKER_DEADLINE_MS = 2000;

/** Added to the wait time of a report call; a call that takes longer fails. */
export const REPORT_GRACE_MS = 2000;

/** A worker stops its tasks when no instance has renewed the lease for this long. */
export const WORKER_LEASE_MS = 60_000;

export const LEASE_RENEWAL_INTERVAL_MS = 10_000;

/** Longest time that a worker delays its response to a report call until its report changes. */
export const REPORT_WAIT_MS = 10_000;
