/** Longest time between two planning passes; a change starts a pass earlier. */
export const PLANNER_INTERVAL_MS = 500;

/** Reconcile interval without placements: there is nothing to retry, and changes wake the loop. */
export const RACK_IDLE_INTERVAL_MS = 5000;

/** Planning interval without waiting jobs: only quarantines and lost workers change with time. */
export const PLANNER_IDLE_INTERVAL_MS = 5000;

/** Longest time between two reconciliations of a rack; a change starts one earlier. */
export const RACK_INTERVAL_MS = 500;

/** Debounce time: changes that arrive within it share one planning pass. */
export const PLANNER_DELAY_MS = 10;

/** Store prefixes that every instance replicates; claims are not among them, because only the owner of their shard reads them. */
export const REPLICATED_PREFIXES = ['config/', 'racks/', 'jobs/', 'slots/'] as const;

/** A worker whose report is overdue by this long gets no new placement. */
export const WORKER_DOWN_AFTER_MS = 5000;

/** Time between two checks whether a worker that was down reports again, so that its lease can be renewed. */
export const DOWN_WORKER_CHECK_MS = 1000;

export const DRAIN_POLL_MS = 20;

/** Time between failing the readiness check and refusing requests, so that the load balancer stops routing here first. */
export const READINESS_LEAD_MS = 500;

/** Instances that watch the store; the others receive the changes from them. */
export const WATCHER_COUNT = 2;

/** Tolerated drift between the clocks of instance and worker during one lease. */
export const LEASE_MARGIN_MS = 5000;

/** Changes of a rack record that arrive within this time are batched into one write. */
export const RACK_BATCH_MS = 10;

/** Factor by which reported usage may exceed the declared size, because samples cover short periods. */
export const USAGE_TOLERANCE = 1.1;

/** Consecutive violations of the declared size after which a task is stopped. */
export const USAGE_VIOLATION_LIMIT = 3;

/** Shortest time between two counted violations. Usage reports lag by seconds, so a throttled task gets this long to show an effect. */
export const USAGE_VIOLATION_INTERVAL_MS = 10_000;

/** Peers to which an instance forwards a pushed change; limits what one instance sends. */
export const PUSH_FAN_OUT = 4;

/** Time to wait for pushed values before the changes up to an announced revision are fetched from a peer. */
export const PUSH_GRACE_MS = 150;

/** Bytes of values in one page of changes for a peer; stays below the frame size limit. */
export const CHANGES_PAGE_BYTES = 4 * 1024 * 1024;

/** Longest wait for heartbeats at startup; after it, startup continues without the peers that have not responded. */
export const JOIN_WAIT_MS = 1500;

/** Alive peers that startup waits for. */
export const JOIN_PEERS = 3;

export const JOIN_POLL_MS = 50;

export const INITIAL_SNAPSHOT_RETRY_MIN_MS = 100;

export const INITIAL_SNAPSHOT_RETRY_MAX_MS = 2000;

/** Configuration generations that an instance keeps as bases for three-way differences. */
export const KEPT_GENERATIONS = 8;

/** Peers that are asked for a generation that this instance no longer keeps. */
export const BASE_LOOKUP_PEERS = 3;

/** A job submitted within this time may not have reached every replica. */
export const RECENT_JOB_MS = 30_000;

/** Delay of the primary watcher after changes. Without it each write costs one watch call per watcher. */
export const WATCH_PAUSE_MS = 20;

/** Delay of the standby watcher, which only covers for a failed primary. */
export const STANDBY_WATCH_PAUSE_MS = 250;

/** A worker that refuses a call with this status accepts it later. */
export const TOO_MANY_REQUESTS_STATUS = 429;
