export const START_DEADLINE_MS = 10_000;

export const STEP_DEADLINE_MS = 20_000;

export const POLL_MS = 50;

/** Run time of the gang; longer than the take-over after a killed instance. */
export const GANG_RUN_MS = 6000;
