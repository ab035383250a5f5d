/** Largest duration of a histogram; longer ones are recorded as this value. */
export const HISTOGRAM_MAX_MICROSECONDS = 24 * 60 * 60 * 1_000_000;

export const HISTOGRAM_SIGNIFICANT_DIGITS = 2;

export const HISTOGRAM_QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;

/** Series per metric name. Further label sets share one overflow series, so that labels from callers cannot exhaust memory. */
export const MAX_SERIES_PER_METRIC = 2000;

/** Log lines per second for one event name. The leader of 900 workers starts and ends several hundred units per second during a burst. */
export const MAX_LINES_PER_SECOND = 500;

/** Buffered size at which log lines are written, so that a system call is not needed for each line. */
export const LOG_BUFFER_BYTES = 4096;

/** Longest time for which log lines are buffered. */
export const LOG_FLUSH_INTERVAL_MS = 200;

/** Unwritten log text while the reader is slow; lines beyond this size are dropped. */
export const MAX_LOG_BACKLOG_BYTES = 1_048_576;

/** Longest time that a terminating process waits for its buffered log lines to be written. */
export const LOG_FLUSH_DEADLINE_MS = 200;

/** Longest time that a process waits until its last line is written, and the pause between attempts while its reader is slow. */
export const LAST_LINE_DEADLINE_MS = 1000;
export const LAST_LINE_RETRY_MS = 5;
