/** Workers that one pass keeps free for parts that found no room, as a share of all. */
export const RESERVED_SHARE = 0.25;

/** Parts that may reserve workers in one pass. */
export const MAX_RESERVING_PARTS = 8;

/** Evictions in one pass; more would stop work that the next pass could still place around. */
export const MAX_EVICTIONS = 16;

/** Pending parts that one pass looks at; bounds the time of a pass under a long queue. */
export const MAX_PLANNED_PARTS = 600;

/** Urgent work may throw away at most this many times its own work. */
export const EVICTION_LOSS_RATIO = 2;

/** Time that a stop and the start after it take. */
export const EVICTION_TIME_MS = 500;

/** Stops that throw away less than this share of the urgent work need not wait for an expected end. */
export const CHEAP_EVICTION_RATIO = 0.25;

/** Parts for which one pass looks for work that could give way; the search visits every placement. */
export const MAX_EVICTION_SEARCHES = 24;

/** Time that work waits for its data's rack while less than half of the pool is in use. */
export const MAX_IDLE_DATA_WAIT_MS = 1500;

/** Share of a pool's room in use below which it counts as idle. */
export const IDLE_POOL_SHARE = 0.5;
