/** Lease of the marks of withdrawn jobs, and the time for which it is used for further marks. */
export const WITHDRAWAL_TTL_MS = 60_000;

/** The difference to the lease, 30 s, is the least life of a mark: longer than a submission is repeated, and than the store takes to carry out a call without a response. */
export const WITHDRAWAL_LEASE_REUSE_MS = 30_000;

/** Bounds the marks in the store to three times this number for each instance. */
export const MAX_WITHDRAWALS_PER_LEASE = 2000;

/** Attempts at a cancellation whose job changes between its read and its write, which a reuse of ids causes once at most. */
export const CANCEL_ATTEMPTS = 3;
