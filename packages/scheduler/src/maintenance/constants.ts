/** Interval between polls of the machines while a maintenance wave is active. */
export const MAINTENANCE_POLL_MS = 700;

/** Part of each machine's turn in a wave that is reserved for the calls before and after its maintenance. */
export const MAINTENANCE_MARGIN_MS = 1500;

/** Long-poll timeout of the watch on waves, which have seconds to begin. */
export const WAVE_WATCH_WAIT_MS = 5000;

/** Time for which a maintenance order may be under way after the leader has last checked its term. */
export const MAINTENANCE_ORDER_MS = 1500;

/** Oldest listing of the machines on which a maintenance order may rest. */
export const MACHINE_LISTING_MAX_AGE_MS = 1000;

/** Listings in a row without a machine after which it counts as removed, and its maintenance as no longer due. */
export const ABSENT_LISTINGS = 3;
