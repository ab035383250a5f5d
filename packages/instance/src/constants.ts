/** The planner looks at the queue at least this often; changes wake it earlier. */
export const PLANNER_INTERVAL_MS = 500;

/** A rack is reconciled at least this often; changes wake it earlier. */
export const RACK_INTERVAL_MS = 500;

/** Changes that arrive within this time go into one placement pass. */
export const PLANNER_DELAY_MS = 10;

/** Replicated store prefixes; claims are read only by the owner of their shard. */
export const REPLICATED_PREFIXES = ['config/', 'racks/', 'jobs/', 'slots/'] as const;

/** A worker that gave no report for this long gets no new placement. */
export const WORKER_DOWN_AFTER_MS = 5000;

export const DRAIN_POLL_MS = 20;

/** Time for the load balancer to see that readiness is off. */
export const READINESS_LEAD_MS = 500;

/** Instances that hold a watch of the store. */
export const WATCHER_COUNT = 2;

/** Clocks of instance and worker may run apart by this much during one lease. */
export const LEASE_MARGIN_MS = 5000;

/** Changes of a rack record that come within this time go into one write. */
export const RACK_BATCH_MS = 10;

/** Reported usage may exceed the declared size by this factor, because samples are taken over short times. */
export const USAGE_TOLERANCE = 1.1;

/** Checks in a row over the declared size after which a task is stopped. */
export const USAGE_STRIKES = 3;

/** Usage reports lag by seconds, so a throttled task gets this long to show its effect. */
export const USAGE_STRIKE_INTERVAL_MS = 10_000;
