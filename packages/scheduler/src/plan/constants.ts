/** Share of all workers on which suspects of worker crashes may run alone at a time, and the share of these for one customer. */
export const TRIAL_SHARE = 0.2;
export const TRIAL_CUSTOMER_SHARE = 0.5;

/** Time for which a suspect waits for a worker of its own, by suspicion; then it runs beside other work, on the emptiest worker. Most weak suspects have only started beside the cause of a crash. */
export const TRIAL_WAIT_MS = {none: 0, weak: 500, strong: 8000} as const;

/** Share of all workers that one pass may reserve for parts that can't be placed yet. */
export const RESERVED_SHARE = 0.25;

/** Time that a part waits for workers which are reserved for another one while most of the pool is idle. Three seconds without a run count as lost work. */
export const RESERVATION_YIELD_MS = 2000;

/** Parts that may reserve workers in one pass. */
export const MAX_RESERVING_PARTS = 8;

/** Parts for which one pass looks for workers to reserve, because each search visits every worker. */
export const MAX_RESERVATION_SEARCHES = 24;

/** Maximum evictions in one pass; more would stop work although the next pass could still place the parts without an eviction. */
export const MAX_EVICTIONS = 16;

/** Maximum parts that one pass tries to place; limits the duration of a pass when the queue is long. Parts that the fleet can't hold don't count, since they stay pending. */
export const MAX_PLANNED_PARTS = 600;

/** An eviction for urgent work may lose at most this multiple of that work. */
export const EVICTION_LOSS_RATIO = 2;

/** Time that a stop and the start that follows it take. */
export const EVICTION_TIME_MS = 500;

/** Evictions that lose at most this share of the urgent work don't wait for running work that is expected to end in time. */
export const CHEAP_EVICTION_RATIO = 0.25;

/** Maximum parts for which one pass searches for evictions, because each search visits every placement. */
export const MAX_EVICTION_SEARCHES = 24;

/** Longest wait for the rack with the data, or for a single rack, while the pool counts as idle. */
export const MAX_IDLE_DATA_WAIT_MS = 1500;

/** A pool counts as idle when less than this share of its resources is in use. */
export const IDLE_POOL_SHARE = 0.5;

/** Time for which the last attempt of a job waits for workers that are not suspected. */
export const LAST_ATTEMPT_WAIT_MS = 4000;
