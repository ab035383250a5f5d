/** Root of the scheduler's keys in the store. */
export const ROOT_PREFIX = 'bergamotgauge/';

/** Time after which the leadership of a dead instance ends; several lost renewals fit. */
export const LEADER_TTL_MS = 1500;

/** Four renewals fit into the lease. */
export const LEADER_RENEW_MS = 350;

/** The leader stops this long before its lease ends at the store, so that its last orders have left. */
export const LEADER_MARGIN_MS = 250;

/** Longest wait of one watch; an answer also proves that the copy is current. */
export const WATCH_WAIT_MS = 1500;

/** Pause after a watch that brought changes; those that come meanwhile share the next answer. */
export const WATCH_PAUSE_MS = 40;

/** The same for the workers' reports, of which each worker writes one every second or two. */
export const DIRECTORY_PAUSE_MS = 250;

export const WATCH_RETRY_MIN_MS = 50;
export const WATCH_RETRY_MAX_MS = 400;

/** Longest wait of a worker for an end before it answers. */
export const RENEWAL_WAIT_MS = 2000;

/** Added to a hold's wait; a hold that takes longer counts as lost. */
export const RENEWAL_GRACE_MS = 1000;

/**
Deadlines of the tries of a start, stop or pace, which the worker carries out once. A worker on the same site answers in a few milliseconds, and the other members of a gang wait meanwhile; later tries leave room for a busy processor.
*/
export const ORDER_DEADLINES_MS = [200, 400, 600] as const;

/** Deadline of a look at the progress of a worker's units. */
export const PROGRESS_POLL_DEADLINE_MS = 500;

/** Pause before a worker that does not answer is asked again. */
export const WORKER_RETRY_MS = 100;
export const WORKER_RETRY_MAX_MS = 500;

/** Share of the longest lease that is asked for; the rest covers the error of the clock estimate. */
export const LEASE_SHARE = 0.95;

/** A worker's clock may be this much slower than this instance's. */
export const CLOCK_RATE_ERROR = 0.02;

/** Added to the end of a lease before its work starts elsewhere. */
export const LEASE_EXPIRY_MARGIN_MS = 250;

/** Runs of one term; the run numbers of the next term begin above. */
export const RUNS_PER_TERM = 1000;

/** Changes are collected this long before one planning pass. */
export const PLAN_DELAY_MS = 5;

/** Longest time between two planning passes while work is waiting. */
export const PLAN_INTERVAL_MS = 500;

/** Jobs in one transaction; each takes up to three of the 32 entries that the store accepts, the leader key one. */
export const COMMIT_BATCH = 10;

/** Least time between two commits of progress that no caller waits for. */
export const LAZY_COMMIT_MS = 300;

/** A store without an answer for this long counts as lost; new jobs are then refused at once. */
export const STORE_LOST_MS = 1000;

/** Time to return for a caller that was refused because the store is lost. */
export const STORE_RETRY_AFTER_MS = 1000;

/** Time for which a submission with unknown effect is resolved before the caller is told so. */
export const SUBMIT_RESOLVE_MS = 2200;

/** Longest delay between two looks of an idle planner. */
export const IDLE_PLAN_INTERVAL_MS = 1000;

/** Pause between two looks at whether the leadership is free. */
export const ELECTION_RETRY_MS = 50;

/** Pause between two sendings of a stop that no worker has answered. */
export const STOP_RETRY_MS = 200;

/** Added to the time a stop takes before a report without the run proves its end. */
export const STOP_SETTLE_MS = 100;

/** Pause between two removals of old records. */
export const RETENTION_INTERVAL_MS = 5000;

/** Jobs whose records are removed in one transaction; each takes three of its 32 entries. */
export const RETENTION_BATCH = 10;

/** Kept longer than promised, since the clocks of instances differ. */
export const RETENTION_MARGIN_MS = 30_000;

/** Different jobs that fail in a row on a worker before it comes under suspicion. */
export const FAILED_JOBS_LIMIT = 2;

export const SUSPICION_MIN_MS = 4000;
export const SUSPICION_MAX_MS = 30_000;

/** Time for which a worker that refused a start gets no other. */
export const REFUSAL_PAUSE_MS = 200;

/** Work later than this many times its objective counts for nobody any more. */
export const OBJECTIVE_EXPIRY_FACTOR = 3;

/** Cores that an accelerator counts for where work of different shapes is compared. */
export const ACCELERATOR_CORES = 8;

/** Work that a stop throws away when the unit saves its progress as it stops. */
export const RESTART_MS = 300;

/** Taken off the rank of work within a guarantee; larger than any rank. */
export const GUARANTEED_RANK = 1e12;

/** Longest wait of the watch on the leader key; an open connection that went silent delays an election by this. */
export const LEADER_WATCH_WAIT_MS = 3000;

/** Pause between two counts of jobs that have not begun; callers may be told counts up to 2 s old. */
export const PENDING_WRITE_MS = 500;

/** Time for which an instance answers from the counts that it read last. */
export const PENDING_CACHE_MS = 400;

/** Ended jobs whose state an instance remembers, so that repeated questions cost no call. */
export const ENDED_CACHE_ENTRIES = 4000;

/** Time within which the other members of a gang list the end of its work. */
export const GANG_END_MS = 1000;

/** Time without progress after which a unit stands still; workers are asked at least every two seconds. */
export const STALL_MIN_MS = 3500;

/** The same as a share of the estimated run time, for units whose percent changes slowly. */
export const STALL_SHARE = 0.5;

/** Time without progress after which a unit without end that is not at work yet is started elsewhere. */
export const LONG_RUNNING_START_MS = 6000;

/** Pause after a planning pass as a multiple of its own time, so that planning takes at most a third of the processor. */
export const PLAN_PAUSE_RATIO = 2;

export const MAX_PLAN_PAUSE_MS = 200;

/** Longest time by which an instance with little processor lets larger ones claim the leadership first. */
export const MAX_CLAIM_DELAY_MS = 400;

/** Delay of a claim for each whole core that the instance lacks. */
export const CLAIM_DELAY_PER_CORE_MS = 500;

/** Length of a lease on a worker that leaves; longer than the time between two reports. */
export const DRAINING_LEASE_MS = 3500;

/** Time that a worker which leaves is sure to stay when its report does not say; it serves this long after the store has taken the report. */
export const DEFAULT_REMAINING_MS = 2000;

/** Left of a leaving worker's time for the stop of its work. */
export const EVACUATION_MARGIN_MS = 300;

/** Runs of a queue that its record of run times remembers. */
export const RUN_TIME_MAX_SAMPLES = 100;

/** Squared error in logarithms that is assumed before runs have shown another. */
export const RUN_TIME_PRIOR_ERROR = 0.5;

/** Runs that this assumption counts for. */
export const RUN_TIME_PRIOR_SAMPLES = 3;

/** Workers in one question to the advice service; the objectives of jobs count one question on so many for each step. */
export const ADVICE_BATCH = 30;

/** Time beyond its own after which a question to the advice service counts as lost. */
export const ADVICE_GRACE_MS = 1000;

/** Pause after a question that failed; the service refuses callers while many wait. */
export const ADVICE_RETRY_MS = 200;

/** Part of a ticket's time that is left for the start to arrive. */
export const TICKET_MARGIN_MS = 150;

/** Steps of which the tickets are remembered. */
export const ADVICE_CACHE_ENTRIES = 2000;

/** Pace in percent of units that use what others leave when they meet units with users of their own. */
export const INITIAL_THROTTLE_PERCENT = 50;

/** Ratio of a response time to its target from which the pace is lowered; the figures are rough. */
export const THROTTLE_DOWN_RATIO = 0.95;

/** Ratio below which the pace rises. */
export const THROTTLE_UP_RATIO = 0.75;

/** Percent by which the pace rises at a time. */
export const THROTTLE_STEP_PERCENT = 10;

/** Time between two changes of a pace; the figures cover the last half second. */
export const THROTTLE_INTERVAL_MS = 600;

/** Share of the time for which units may be disturbed after which the others stand still. */
export const SUSPEND_AFTER_SHARE = 0.25;

/** Longest wait for a report of a worker on which units disturb each other. */
export const SHARED_RENEWAL_WAIT_MS = 500;

/** Length of the window in which the speed of a run is judged. */
export const PROGRESS_WINDOW_MS = 1500;

/** Shortest window that tells a speed: a tenth of it is a late report. */
export const MIN_WINDOW_MS = 600;

/** Time by which a report may be newer than another that it is compared with. */
export const MAX_REPORT_SKEW_MS = 300;

/** Run time against the expected one from which a unit is slow; units of a step differ by a fifth or so. */
export const SLOW_RATIO = 2.5;

/** Ratio up to which a unit shows that its worker is sound. */
export const NORMAL_SPEED_RATIO = 1.5;

/** Jobs whose units have to be slow on a worker where only estimates, which are often off, are there to compare with. */
export const SLOW_JOBS_LIMIT = 2;

/** Time for which a worker that was found slow gets work only when no other fits; doubles each time in a row.
As long as a typical run, since a shorter one only tries the worker again while it is still slow. */
export const SLOW_SUSPICION_MS = 6000;

/** Times that a part is moved off slow workers; where all seem slow, moving helps nothing. */
export const MAX_SLOW_RESTARTS = 2;

/** Work is moved where the time to go is this many times that of a new start; a slow worker may recover. */
export const RESTART_GAIN = 1.5;

/** Time after its expected end from which a unit is asked about: the report that lists its end may be lost. */
export const OVERDUE_MS = 400;

/** Longest expected run for which a worker is asked about progress between its reports, which come every two seconds. */
export const MAX_POLLED_RUN_MS = 5000;

/** Pause between two looks at the machines while a wave of upkeep is under way. */
export const MAINTENANCE_POLL_MS = 700;

/** Part of a machine's turn in a wave that is left for the calls around its upkeep. */
export const MAINTENANCE_MARGIN_MS = 1500;

/** Longest wait of the watch on waves, which have seconds to begin. */
export const WAVE_WATCH_WAIT_MS = 5000;
