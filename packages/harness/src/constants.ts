export const START_DEADLINE_MS = 20_000;

export const STEP_DEADLINE_MS = 30_000;

export const READY_POLL_MS = 20;

/** Kernel clock ticks in a second, by which the process table counts CPU time. */
export const CLOCK_TICKS_PER_SECOND = 100;
