export const ENDPOINT_COUNT = 30;

/** Delay until the instance list shows a change. */
export const LIST_LAG_MS = 100;

/** Run time of the gang that runs while an instance is killed; must exceed the takeover time. */
export const GANG_RUN_MS = 6000;
