/** Memory that the leader may need for an accepted job beside its units: its records and its place in the tables. */
export const JOB_BYTES = 4096;

/** The same for each step, and for each unit once it has run: its part, its stored record and the copy that is written. */
export const STEP_BYTES = 512;
export const UNIT_BYTES = 1024;

/** Share of the usable memory that accepted jobs may take; planning and writes need as much again for a while, and instances that admit at the same time may exceed the limit. */
export const BACKLOG_MEMORY_SHARE = 0.3;

/** Least limit, so that a job of the largest size is accepted by any instance. */
export const MIN_BACKLOG_BYTES = 8 * 1024 * 1024;

/** Memory of a process beside its heap: code, buffers of connections and the runtime. */
export const PROCESS_OVERHEAD_BYTES = 64 * 1024 * 1024;

/** Time for which an instance counts what it has admitted; longer than the oldest view of the jobs that a leader plans with, and two publications. */
export const OWN_COUNT_MS = 3000;

/** Share of the remaining memory that one instance admits within `OWN_COUNT_MS`, since others admit beside it. */
export const OWN_SHARE = 0.25;

/** Least time between two publications of the backlog. */
export const BACKLOG_WRITE_MS = 250;

/** Parts of the limit in which the backlog is published, so that ordinary traffic does not change it. */
export const BACKLOG_LEVELS = 16;

/** Time for which a leader has seen the workers of a service before their sizes are taken as the largest; longer than most restarts and outages of a zone. */
export const FLEET_SETTLED_MS = 30_000;

/** Longest list of worker sizes that is published for a service. */
export const MAX_FLEET_SIZES = 16;

/** Retry-After of a refusal for lack of memory, at least and at most; a random time between them keeps callers from returning together. */
export const MEMORY_RETRY_MIN_MS = 2000;
export const MEMORY_RETRY_MAX_MS = 8000;

/** Time over which the capacity of a service counts as the largest that was usable; longer than a takeover and than the pauses of workers. */
export const CAPACITY_WINDOW_MS = 10_000;

/** Wait from which demand is published: what a job with an objective of a second can stand, and `WAIT_ERROR_FACTOR`. */
export const DEMAND_MIN_WAIT_MS = 6000;

/** Interval between publications of demand. */
export const DEMAND_INTERVAL_MS = 2000;

/** Oldest demand by which jobs are refused; two publications may be missed. */
export const DEMAND_MAX_AGE_MS = 6000;

export const MAX_DEMAND_ENTRIES = 32;

/** Factor by which a wait has to exceed what a job can stand: run times are learned, and estimates are off by this much where they are not. */
export const WAIT_ERROR_FACTOR = 2;

/** Retry-After of a job that would lose its value, at least and at most. */
export const VALUE_RETRY_MIN_MS = 1000;
export const VALUE_RETRY_MAX_MS = 30_000;
