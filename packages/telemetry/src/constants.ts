/** Histograms hold durations up to this value; longer ones are recorded as this value. */
export const HISTOGRAM_MAX_MICROSECONDS = 24 * 60 * 60 * 1_000_000;

export const HISTOGRAM_SIGNIFICANT_DIGITS = 2;

export const HISTOGRAM_QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;

/** Series per metric name; further label sets share one series, so that callers cannot grow memory. */
export const MAX_SERIES_PER_METRIC = 2000;

/** Lines of one kind of event in a second; a leader of 900 workers under a burst starts and ends some hundred units in it. */
export const MAX_LINES_PER_SECOND = 500;

/** Lines are collected up to this size, in bytes, so that each costs no system call of its own. */
export const LOG_BUFFER_BYTES = 4096;

/** Longest time for which lines are collected. */
export const LOG_FLUSH_MS = 200;

/** Text that waits for a slow reader, in bytes; what comes beyond is dropped. */
export const MAX_LOG_BACKLOG_BYTES = 1_048_576;

/** Longest time that a process which ends waits for its last lines to be written. */
export const MAX_LOG_FLUSH_MS = 200;
