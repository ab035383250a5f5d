/** CPU share, in percent, of best-effort units when they first share a worker with latency-sensitive units. */
export const INITIAL_THROTTLE_PERCENT = 50;

/** Ratio of a response time to its target from which the CPU share is reduced; below 1, since the measurements are coarse. */
export const THROTTLE_DOWN_RATIO = 0.95;

/** Ratio below which the CPU share is increased. */
export const THROTTLE_UP_RATIO = 0.75;

/** Increase of the CPU share in one step. */
export const THROTTLE_STEP_PERCENT = 10;

/** Time between two changes of the CPU share; response times are measured over the last half second. */
export const THROTTLE_INTERVAL_MS = 600;

/** Share of the allowed interference time after which best-effort units are suspended. */
export const SUSPEND_AFTER_SHARE = 0.25;

/** Oldest report of a latency-sensitive unit on which the CPU share of best-effort units is raised; two reports of a shared worker fit into it. */
export const FIGURE_MAX_AGE_MS = 1500;
