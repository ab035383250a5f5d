/** Variance of the logarithm of workers' speeds before any run is known; workers of one fleet mostly differ by less than a factor of 1.5 from the typical one. */
export const SPEED_PRIOR_VARIANCE = 0.16;

/** Variance of the logarithm of the run times of units of one step on equal workers. */
export const UNIT_VARIANCE = 0.0625;

/** Added to a worker's variance with each run, so that an estimate follows a machine that is replaced by another kind. */
export const SPEED_DRIFT_VARIANCE = 0.0005;

/** Largest deviation in logarithms that one run may show; a run that takes longer has another cause than its worker. */
export const MAX_DEVIATION = 1;

/** Deviation from the typical worker, in standard deviations of the estimate, below which a worker counts as typical. */
export const SIGNIFICANT_DEVIATIONS = 2;

/** Step to which factors are rounded, in logarithms, so that equal workers count as equal and are filled one after the other. */
export const FACTOR_STEP = 0.2;

/** Units of a step that have to be compared with before a run counts. */
export const MIN_COMPARED_UNITS = 3;

/** Progress in percent from which a run shows the speed of its worker before its end. */
export const MIN_COMPARED_PERCENT = 20;

/** Longest time for which a unit waits for a worker on which its job meets its objective, while a slower one is free. About a tenth of a typical urgent run, so that the wait alone makes no job late. */
export const MAX_SPEED_WAIT_MS = 400;

/** Most estimates that are stored, 40 bytes each; far below the largest value of a store. */
export const MAX_STORED_SPEEDS = 5000;

/** Estimates of workers that are not listed are dropped when there are more than this many times the listed workers, and more than `MIN_PRUNED_SPEEDS`. */
export const PRUNE_FACTOR = 2;
export const MIN_PRUNED_SPEEDS = 200;

/** Interval between writes of the learned factors; their loss costs only what is learned in a few seconds. */
export const SPEED_WRITE_MS = 5000;
