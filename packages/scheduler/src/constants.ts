/** Root of the scheduler's keys in the store. */
export const ROOT_PREFIX = 'bergamotgauge/';

/** Lease of the leader key; the leadership of a dead instance ends after this time. Several missed renewals fit into it. */
export const LEADER_TTL_MS = 1500;

/** Gain of the wall clock on the monotonic one that counts as a suspension; longer than a process may wait for its processor between two readings, and shorter than the margins of leases. */
export const SUSPENSION_MIN_MS = 100;

/** Interval between renewals of the leader lease; four fit into the lease. */
export const LEADER_RENEW_MS = 350;

/** The leader stops sending orders this long before its lease ends at the store, so that its last orders have left. */
export const LEADER_MARGIN_MS = 250;

/** Longest long-poll timeout of a watch; an empty response also proves that the replica is current. */
export const WATCH_WAIT_MS = 800;

/** Response time of a slow store, which the waits of watches always leave time for. */
export const SLOW_RESPONSE_MS = 250;

/** Difference between two response times of a store that is slower than that. */
export const RESPONSE_JITTER_MS = 100;

/** Pause after a watch that returned changes; changes made meanwhile are batched into the next response. */
export const WATCH_PAUSE_MS = 40;

/** The same pause for the watch on worker reports, of which each worker writes one every second or two. */
export const DIRECTORY_PAUSE_MS = 250;

export const WATCH_RETRY_MIN_MS = 50;
export const WATCH_RETRY_MAX_MS = 400;

/** Long-poll timeout of a lease renewal: how long a worker may wait for a unit to end before it responds. */
export const RENEWAL_WAIT_MS = 2000;

/** Least time between two renewals of which the first brought no new end, also if the worker does not wait with its response. */
export const MIN_RENEWAL_INTERVAL_MS = 100;

/** Added to the long-poll timeout of a lease renewal; a renewal that takes longer counts as missed. */
export const RENEWAL_GRACE_MS = 1000;

/**
Deadlines of the attempts at a start, stop or throttle order, which is idempotent. The first one is short, since a worker on the same site responds in a few milliseconds and the other members of a gang wait meanwhile; the later ones allow for a busy processor.
*/
export const ORDER_DEADLINES_MS = [200, 400, 600] as const;

/** Longest time of an order: each attempt may wait for a connection until its deadline, and again for its response. */
export const MAX_ORDER_MS = 2 * ORDER_DEADLINES_MS.reduce((sum, deadlineMs) => sum + deadlineMs, 0);

/** Interval between measurements of the delay of the event loop. */
export const LOOP_SAMPLE_MS = 50;

/** Delay of the event loop from which fewer starts are sent; half of the first deadline of an order. */
export const LOOP_DELAY_LIMIT_MS = 100;

/** Starts that may await their responses at the same time: at the begin of a term, at least and at most. */
export const START_WINDOW_INITIAL = 16;
export const START_WINDOW_MIN = 8;
export const START_WINDOW_MAX = 256;

/** Time after which a start no longer counts as awaiting its response: that of a first attempt without a connection or a response. */
export const START_PENDING_MS = 2 * ORDER_DEADLINES_MS[0];

/** Longest time from the check of an attempt at a start to its arrival at the worker: its deadline and the way there. */
export const START_LEAD_MS = 700;

/** Oldest report of a worker on which an acknowledgement of its ends may rest; shorter than most restarts of a worker, longer than a store takes to write the ends. */
export const MAX_ACKNOWLEDGED_REPORT_AGE_MS = 500;

/** Deadline of a progress poll of a worker's units. */
export const PROGRESS_POLL_DEADLINE_MS = 500;

/** Backoff between requests to a worker that does not respond. */
export const WORKER_RETRY_MS = 100;
export const WORKER_RETRY_MAX_MS = 500;

/** Pause before a link to a worker whose lease has ended is opened again, on new connections. */
export const WORKER_REOPEN_MS = 1000;

/** Time for which reading the stored jobs may hold the processor; renewals of the leader lease and orders wait meanwhile. */
export const MAX_TURN_MS = 20;

/** Share of the longest lease that is requested; the rest covers the error of the clock estimate. */
export const LEASE_SHARE = 0.95;

/** A worker's clock may run slower than this instance's by this share. */
export const CLOCK_RATE_ERROR = 0.02;

/** Interval over which the difference between a worker's clock and this instance's is observed; a slow clock changes it by 50 ms meanwhile. */
export const OFFSET_INTERVAL_MS = 2500;

/** Safety margin between the end of a worker's lease and the start of its work elsewhere. */
export const LEASE_EXPIRY_MARGIN_MS = 250;

/** Run numbers reserved for each term; the next term numbers its runs above them. */
export const RUNS_PER_TERM = 1000;

/** Changes are batched for this long before a planning pass. */
export const PLAN_DELAY_MS = 5;

/** Longest time between two planning passes while there are active jobs. */
export const PLAN_INTERVAL_MS = 500;

/** Maximum jobs in one transaction. Each takes up to three of the 32 entries that the store accepts; the leader key takes one. */
export const COMMIT_BATCH = 10;

/** Pause before a record is written again that the store has refused in each form; each attempt may send a megabyte. */
export const REFUSED_RECORD_RETRY_MS = 5000;

/** Delay of progress commits that no caller waits for, so that they share transactions. */
export const LAZY_COMMIT_MS = 300;

/** The store counts as unavailable after this time without a response; new jobs are then refused at once. */
export const STORE_LOST_MS = 1000;

/** Retry-After for a caller that was refused because the store is unavailable. */
export const STORE_RETRY_AFTER_MS = 1000;

/** How long a submission with an unknown outcome is retried before the caller gets a `deadline-exceeded` error. */
export const SUBMIT_RESOLVE_MS = 2200;

/** Backoff between retries of a submission or cancellation with an unknown outcome. */
export const RESOLVE_RETRY_MIN_MS = 60;
export const RESOLVE_RETRY_MAX_MS = 500;

/** Units of a job whose parts are created with it. A pass considers at least as many waiting units of each job. */
export const OPEN_UNITS_AT_FIRST = 32;

/** Waiting units of a job, and of all jobs with more units than that, that a pass considers; at most 256 starts await their responses at the same time. */
export const OPEN_UNITS_PER_JOB = 256;
export const MAX_OPEN_UNITS = 512;

/** Longest time between two planning passes when there are no active jobs. */
export const IDLE_PLAN_INTERVAL_MS = 1000;

/** Interval between checks whether the leadership is vacant. */
export const ELECTION_RETRY_MS = 50;

/** A run that began within this time before its worker's last response is a likely cause of the worker's crash. */
export const EARLY_CRASH_MS = 2000;

/** Workers that stop responding within this time of each other, if at least so many, have a cause in common. */
export const COMMON_CAUSE_WINDOW_MS = 1000;
export const COMMON_CAUSE_WORKERS = 3;

/** Crashes in a row after which a part is a suspect although each of them may have another cause. */
export const SUSPECT_CRASHES = 3;

/** Crashes in a row after which a part is not started again: with the last one certain, with any likely one, and in any case. A sixth start is not allowed. */
export const MAX_CRASHES_IF_CERTAIN = 3;
export const MAX_CRASHES_IF_LIKELY = 4;
export const MAX_CRASHES = 5;

/** A run outlasts the crashes before it when it has lasted this many times as long as the longest of them, and the margin more. */
export const OUTLAST_FACTOR = 2;
export const OUTLAST_MARGIN_MS = 1000;

/** Pause before a suspect is started again, multiplied by its crashes; each crash takes a worker away for seconds. */
export const RETRY_AFTER_CRASH_MS = 1000;

/** Interval between retries of a stop that the worker has not acknowledged. */
export const STOP_RETRY_MS = 200;

/** Added to the stop timeout; a report sent after that which does not list the run proves that it has ended. */
export const STOP_SETTLE_MS = 100;

/** Interval between removals of expired records. */
export const RETENTION_INTERVAL_MS = 5000;

/** Jobs whose records are removed in one transaction; each takes three of its 32 entries. */
export const RETENTION_BATCH = 10;

/** Records are kept this much longer than promised, since the clocks of instances differ. */
export const RETENTION_MARGIN_MS = 30_000;

/** Usual share of runs that fail by their own fault, and the number of runs that this prior counts as. */
export const PRIOR_RUNS = 4;
export const PRIOR_FAILURES = 0.02 * PRIOR_RUNS;

/** Time after which an outcome counts half. */
export const OUTCOME_HALF_LIFE_MS = 10_000;

/** Estimated share of failing runs above which a worker gets work only when no other fits. */
export const FAILING_SHARE = 0.15;

/** Largest share of the workers that is suspected because of failures. */
export const MAX_FAILING_WORKER_SHARE = 0.4;

/** Time for which a success speaks for a worker. */
export const PROVEN_MS = 10_000;

export const SUSPICION_MIN_MS = 4000;
export const SUSPICION_MAX_MS = 30_000;

/** A worker that refused a start gets no other start for this time. */
export const REFUSAL_PAUSE_MS = 200;

/** Work later than this many times its objective has no value left. */
export const OBJECTIVE_EXPIRY_FACTOR = 3;

/** Cores that an accelerator counts as when work of different shapes is compared. */
export const ACCELERATOR_CORES = 8;

/** Run time lost by a stop when the unit saves a checkpoint as it stops. */
export const RESTART_MS = 300;

/** Subtracted from the rank of work within a guarantee; larger than any rank. */
export const GUARANTEED_RANK_OFFSET = 1e12;

/** Long-poll timeout of the watch on the leader key. A connection that has silently died delays an election by up to this time. */
export const LEADER_WATCH_WAIT_MS = 3000;

/** Interval between counts of queued jobs; callers may be told counts up to 2 s old. */
export const PENDING_WRITE_MS = 500;

/**
Lease of the published counts. Together with the age of the view of the jobs, the interval between counts and the instances' cache, it keeps what callers are told within five seconds.
*/
export const PENDING_TTL_MS = 2200;

/** Oldest view of the jobs that is counted; above the wait of its watch, which ends the age of a view without changes. */
export const PENDING_VIEW_MAX_AGE_MS = 1800;

/** How long an instance serves the counts that it last read. */
export const PENDING_CACHE_MS = 400;

/** Ended jobs whose state an instance caches, so that repeated queries need no store call. */
export const ENDED_CACHE_ENTRIES = 4000;

/** Time within which the other members of a gang report the end of their work. */
export const GANG_END_MS = 1000;

/** Time within which a run that works shows progress, since reports have whole percents and few runs take over 50 s. */
export const GANG_PROGRESS_MS = 500;

/** Pause after a planning pass as a multiple of its duration, so that planning takes at most a third of the processor. */
export const PLAN_PAUSE_RATIO = 2;

export const MAX_PLAN_PAUSE_MS = 200;

/** Longest delay by which an instance with few cores lets larger ones claim the leadership first. */
export const MAX_CLAIM_DELAY_MS = 400;

/** Claim delay per missing core, for an instance with less than one core. */
export const CLAIM_DELAY_PER_CORE_MS = 500;

/** Lease of a draining worker; longer than the time between two reports. */
export const DRAINING_LEASE_MS = 3500;

/** Time for which a draining worker is sure to stay when its report does not say; workers keep serving for this long after their report is stored. */
export const DEFAULT_REMAINING_MS = 2000;

/** Part of the time before a drain deadline that is reserved for stopping the work. */
export const EVACUATION_MARGIN_MS = 300;

/** Runs over which the mean run time of a queue is averaged. */
export const RUN_TIME_MAX_SAMPLES = 100;

/** Prior of the squared error, in logarithms, before runs have been observed. */
export const RUN_TIME_PRIOR_ERROR = 0.5;

/** Number of runs that the prior counts as. */
export const RUN_TIME_PRIOR_SAMPLES = 3;

/** Time within which a worker carries out an order that got no response. */
export const LATE_ORDER_MS = 12_000;

/**
Pause between calls to a worker that has stopped responding and may have a late start, multiplied by the number of such workers. It bounds the time in which the next incarnation can carry out the start, and all such calls to 100 a second.
*/
export const LATE_START_PROBE_PAUSE_MS = 10;

/** Deadline of such a call: a connection that is not answered is opened again. */
export const LATE_START_PROBE_DEADLINE_MS = 100;

/** Interval between repeats of a throttle while an earlier one may still be carried out. */
export const THROTTLE_REPEAT_MS = 1000;

/** Long-poll timeout of lease renewals for workers that run both latency-sensitive and best-effort units. */
export const SHARED_RENEWAL_WAIT_MS = 500;

/** Length of the window over which the speed of a run is measured. */
export const PROGRESS_WINDOW_MS = 1500;

/** Shortest window from which a speed is derived; a late report distorts it by about a tenth. */
export const MIN_WINDOW_MS = 600;

/** A report may be newer by this much than another one that it is compared with. */
export const MAX_REPORT_SKEW_MS = 300;

/** Ratio of the run time to the expected one from which a unit is slow; units of a step differ by about a fifth. */
export const SLOW_RATIO = 2.5;

/** Ratio up to which a unit shows that its worker runs at normal speed. */
export const NORMAL_SPEED_RATIO = 1.5;

/** Jobs that must be slow on a worker when there are only estimates to compare with, since estimates are often far off. */
export const SLOW_JOBS_LIMIT = 2;

/**
Time for which a slow worker gets work only when no other fits; doubles each consecutive time.

It covers a typical run: after a shorter time, work would be placed on the worker while it is still slow.
*/
export const SLOW_SUSPICION_MS = 6000;

/** Times that a part is moved off slow workers; where all seem slow, moving does not help. */
export const MAX_SLOW_RESTARTS = 2;

/** A part is moved when its remaining time is this many times that of a restart, since a slow worker may recover. */
export const RESTART_GAIN = 1.5;

/** A unit is polled this long after its expected end, since the report that lists its end may be lost. */
export const OVERDUE_MS = 400;

/** Interval between progress polls of short urgent units, which have no time to spare for a worker that hangs. */
export const URGENT_POLL_MS = 400;

/** Longest expected run that is polled for progress between lease renewals, which come every two seconds. */
export const MAX_POLLED_RUN_MS = 5000;
