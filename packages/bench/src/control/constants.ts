export const FULL_SIZES = [3, 9, 27, 64] as const;

export const QUICK_SIZES = [3, 9] as const;

/** Fleet size of the slopes over racks and jobs. */
export const SLOPE_INSTANCES = 9;

export const FULL_RACKS = [4, 16, 64] as const;

export const QUICK_RACKS = [4, 16] as const;

export const FULL_JOBS = [0, 250, 1000] as const;

export const QUICK_JOBS = [0, 100] as const;

/** Instances that start at the same time; starting all at once measures the machine instead. */
export const START_BATCH = 8;

/** Jobs submitted a second under load. */
export const LOAD_JOBS_PER_SECOND = 10;

export const IN_FORCE_GOAL_MS = 2000;

export const TAKEOVER_GOAL_MS = 5000;

export const IDLE_CALLS_GOAL = 1;

export const BYTES_GOAL = 30_000;

export const CPU_GOAL = 0.017;

/** Jobs submitted together before a measurement. */
export const SUBMIT_BATCH = 50;
