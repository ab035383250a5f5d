/** A checkpoint may take this many times its declared length before the tasks are stopped. */
export const CHECKPOINT_GRACE_FACTOR = 2;

/** Bounds the time for which a claim waits for checkpoints. */
export const MAX_GRACE_MS = 60_000;

/** Leaves half a second of the 1.1 s that urgent work may wait for the writes and the start. */
export const URGENT_GRACE_MS = 600;

/** Observed run times kept for each customer and class. */
export const RUN_TIME_SAMPLES = 64;

/** Declared run times are off by up to this factor, so it bounds an estimate without observations. */
export const MAX_RUN_TIME_RATIO = 5;

/** Short jobs count as this long in the order, so that a few seconds of waiting don't outrank all others. */
export const MIN_ORDER_SECONDS = 30;

/** Blocked jobs that get a reservation in one pass; more reservations leave less to backfill. */
export const RESERVATION_LIMIT = 4;

/** Jobs for which one pass looks for preemptible work to evict; bounds the time of a pass. */
export const EVICTION_SEARCH_LIMIT = 6;

/** A reservation that has waited this long may evict preemptible work that overran its estimate. */
export const MAX_RESERVATION_DELAY_SECONDS = 900;

/** Work that started recently isn't evicted for gain alone, which keeps two jobs from evicting each other in turn. */
export const MIN_RUN_BEFORE_EVICTION_SECONDS = 120;

/** A waiting job may evict work for gain once its wait reaches this share of its expected run time. */
export const GAIN_WAIT_RATIO = 0.5;

/** Work is evicted for gain only when it needs this many times longer than the waiting job. */
export const GAIN_REMAINING_RATIO = 2;

/** Different jobs that must fail on a worker since its last success. */
export const QUARANTINE_EVIDENCE_JOBS = 3;

/** Older failures are no evidence. */
export const QUARANTINE_EVIDENCE_MS = 30 * 60 * 1000;

export const QUARANTINE_MS = 15 * 60 * 1000;

export const PROBATION_MS = 30 * 60 * 1000;

/** Largest share of a pool's workers in quarantine, so that a bad release doesn't remove the pool. */
export const QUARANTINE_CAP = 0.1;

/** Work that can't checkpoint borrows a home only when it is expected to end within this time, because an owner's claim loses all of it. */
export const BORROWING_WITHOUT_CHECKPOINT_SECONDS = 600;

/** Accelerators whose evictions for defragmentation may be in progress at the same time. */
export const MAX_MOVING_ACCELERATORS = 16;

/** A move must gain this many times what it costs; both are accelerator-seconds. */
export const MOVE_GAIN_FACTOR = 20;
