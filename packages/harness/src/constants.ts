/** Time within which a process must report that it is ready. */
export const START_DEADLINE_MS = 20_000;

/** Default deadline of `pollUntil`. */
export const POLL_DEADLINE_MS = 30_000;

export const POLL_INTERVAL_MS = 20;

/** Kernel clock ticks per second, the unit of CPU times in `/proc`. */
export const CLOCK_TICKS_PER_SECOND = 100;
