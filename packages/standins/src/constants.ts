/** Number of past changes that the store stand-in retains for watches. */
export const WATCH_HISTORY_LENGTH = 10_000;

/** Run time of a task whose payload names none. */
export const DEFAULT_RUN_MS = 100;
