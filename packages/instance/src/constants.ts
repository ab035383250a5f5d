/** The planner looks at the queue at least this often; changes wake it earlier. */
export const PLANNER_INTERVAL_MS = 500;

/** Without placements there is nothing to retry; changes wake the loop. */
export const RACK_IDLE_INTERVAL_MS = 5000;

/** Without waiting jobs only quarantines and lost workers change with time. */
export const PLANNER_IDLE_INTERVAL_MS = 5000;

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
/** Peers to which an instance passes a pushed change on; bounds what one instance sends. */
export const PUSH_FAN_OUT = 4;

/** Time that the pushed values get before an instance fetches what a revision announced. */
export const PUSH_GRACE_MS = 150;

/** Bytes of values in one answer to a peer, below the bound of a frame. */
export const CHANGES_PAGE_BYTES = 4 * 1024 * 1024;

/** Time for the first heartbeats of a start; after it, peers that do not answer are not waited for. */
export const JOIN_WAIT_MS = 1500;

/** Peers whose answer a start waits for. */
export const JOIN_PEERS = 3;

export const JOIN_POLL_MS = 50;

export const FIRST_COPY_RETRY_MIN_MS = 100;

export const FIRST_COPY_RETRY_MAX_MS = 2000;

/** Generations of the configuration that an instance keeps as the base of a three-way difference. */
export const KEPT_GENERATIONS = 8;

/** Peers that are asked for a generation which this instance does not keep. */
export const BASE_PEERS = 3;

/** A job submitted within this time may be missing in a replica that follows the store. */
export const RECENT_JOB_MS = 30_000;

/** Pause of the first watcher after changes. Without it each write costs one call of each watcher. */
export const WATCH_PAUSE_MS = 20;

/** Pause of the second watcher, which only makes up for a failed first one. */
export const STANDBY_WATCH_PAUSE_MS = 250;
