/** Shortest time without progress after which a run that has progressed counts as stalled; longer than a short stop of its worker. */
export const MIN_STALL_MS = 700;

/** Number of times that a run takes for one percent after which it counts as stalled if its percentage has not changed. */
export const STALL_PERCENT_STEPS = 10;

/** Time without any progress after which a run counts as stalled at its begin, as a least time and as a share of the expected run time, which may be far off. */
export const BEGIN_STALL_MS = 1200;
export const BEGIN_STALL_SHARE = 0.25;

/** The same for best-effort units, which may get no CPU for a while. */
export const BEST_EFFORT_STALL_MS = 3500;
export const BEST_EFFORT_STALL_SHARE = 0.5;

/** The same as a share of the caller's estimate: reports have whole percents, and a run is given time for two. */
export const BEGIN_STALL_ESTIMATE_SHARE = 0.02;

/** Each stall of a part doubles the time for its next run, at most so many times. */
export const MAX_STALL_DOUBLINGS = 6;

/** Time without progress after which a long-running unit that is not serving yet is restarted on another worker. */
export const LONG_RUNNING_START_MS = 6000;
