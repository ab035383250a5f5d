export const FULL_SIZES = [3, 9, 27, 64] as const;

export const QUICK_SIZES = [3, 9] as const;

/** Number of instances when the number of racks or jobs varies. */
export const SLOPE_INSTANCES = 9;

export const FULL_RACKS = [4, 16, 64] as const;

export const QUICK_RACKS = [4, 16] as const;

export const FULL_JOBS = [0, 250, 1000] as const;

export const QUICK_JOBS = [0, 100] as const;

/** Number of instances that start concurrently. Starting all at once would measure the load of the machine instead of the service. */
export const START_BATCH = 8;

/** Job submission rate of the load phase. */
export const LOAD_JOBS_PER_SECOND = 10;

export const IN_FORCE_GOAL_MS = 2000;

export const TAKEOVER_GOAL_MS = 5000;

/** Store calls per second per instance in an idle fleet of 9. */
export const IDLE_CALLS_GOAL = 1;

/** Bytes per second of the busiest instance of an idle fleet. */
export const BYTES_GOAL = 30_000;

/** CPU cores of the busiest instance of an idle fleet. */
export const CPU_GOAL = 0.017;

/** Jobs submitted concurrently before a measurement. */
export const SUBMIT_BATCH = 50;
