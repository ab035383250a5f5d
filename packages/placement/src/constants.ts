/** A checkpoint may take this many times its declared length before the tasks are stopped. */
export const CHECKPOINT_GRACE_FACTOR = 2;

/** Longest grace period for a checkpoint, unless the declared checkpoint itself takes longer. */
export const MAX_GRACE_MS = 60_000;

/** Urgent work may wait 1.1 s in all; the remaining half second is for the store writes and the start. */
export const URGENT_GRACE_MS = 600;

/** Number of observed run times kept for each customer and class. */
export const RUN_TIME_SAMPLES = 64;

/** Declared run times are off by up to this factor, so this factor limits an estimate without observations. */
export const MAX_RUN_TIME_RATIO = 5;

/** Shortest run time used to rank jobs, so that a short job doesn't outrank all others after a few seconds of waiting. */
export const MIN_ORDER_SECONDS = 30;

/** Blocked jobs that get a reservation in one pass; more reservations leave less capacity for backfill. */
export const RESERVATION_LIMIT = 4;

/** Jobs for which one pass searches for preemptible work to evict; limits the duration of a pass. */
export const EVICTION_SEARCH_LIMIT = 6;

/** A job that has waited this long may evict preemptible work that overran its estimate. */
export const MAX_RESERVATION_DELAY_SECONDS = 900;

/** Minimum run time before work may be evicted for gain, for a delayed job or for defragmentation, which keeps two jobs from evicting each other in turn. */
export const MIN_RUN_BEFORE_EVICTION_SECONDS = 120;

/** A waiting job may evict work for gain once its wait reaches this share of its expected run time. */
export const GAIN_WAIT_RATIO = 0.5;

/** Work is evicted for gain only when its remaining time is at least this many times the waiting job's run time. */
export const GAIN_REMAINING_RATIO = 2;

/** Number of different jobs that must have failed on a worker since its last success before it is quarantined. */
export const QUARANTINE_EVIDENCE_JOBS = 3;

/** Failures older than this are ignored. */
export const QUARANTINE_EVIDENCE_MS = 30 * 60 * 1000;

export const QUARANTINE_MS = 15 * 60 * 1000;

export const PROBATION_MS = 30 * 60 * 1000;

/** Largest share of a pool's workers that may be in quarantine, so that a bad release doesn't take the whole pool out of service. */
export const QUARANTINE_CAP = 0.1;

/** Work that can't checkpoint borrows a reserved block only when it is expected to end within this time, because all of it is lost when the owner reclaims the block. */
export const BORROWING_WITHOUT_CHECKPOINT_SECONDS = 600;

/** Most accelerators of the jobs that one defragmentation move may evict. */
export const MAX_MOVING_ACCELERATORS = 16;

/** A defragmentation move must gain at least this many times its cost, both in accelerator-seconds. */
export const MOVE_GAIN_FACTOR = 20;
