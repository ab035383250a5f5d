export const ENDPOINT_COUNT = 30;

export const LIST_LAG_MS = 100;

/** Run time of the gang; longer than the take-over after a killed instance. */
export const GANG_RUN_MS = 6000;
