/** Limits of the backoff before a failed task is restarted. */
export const RESTART_MIN_MS = 100;

export const RESTART_MAX_MS = 5000;
