/** Variance of the effect of one kind of work on another, in logarithms of the run time, before any run is known. */
export const EFFECT_PRIOR_VARIANCE = 0.04;

/** Variance of the logarithm of a run's slow-down that has other causes than its neighbours. */
export const RUN_VARIANCE = 0.0625;

/** Time in which an estimate loses half of its weight, since the behaviour of work changes within seconds. A pair that is kept apart is tried again when its estimate has faded. */
export const EFFECT_HALF_LIFE_MS = 30_000;

/** Standard deviations by which an effect has to differ from none before work is kept apart. */
export const SIGNIFICANT_DEVIATIONS = 2;

/** Most pairs of kinds that are kept; the ones that were not seen for longest are dropped. About 200 bytes each. */
export const MAX_PAIRS = 4096;

/** Most kinds of neighbours that one run is attributed to; beside more, their effects can't be told apart. */
export const MAX_NEIGHBOUR_KINDS = 8;

/** Weight of a slow-down in the cost of a placement: less than the rack of the data or the speed of the worker, more than the packing of workers. */
export const INTERFERENCE_COST = 5;

/** Least time between two reports of the known pairs, since counting them visits them all. */
export const PAIR_REPORT_MS = 1000;

/** Largest slow-down that counts in the cost, in logarithms. */
export const MAX_COUNTED_EFFECT = 0.7;
