/** Changes that the store stand-in keeps for watches. */
export const WATCH_HISTORY_LENGTH = 10_000;

export const DEFAULT_RUN_MS = 100;
