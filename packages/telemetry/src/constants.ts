/** Histograms hold durations up to this value; longer ones are recorded as this value. */
export const HISTOGRAM_MAX_MICROSECONDS = 24 * 60 * 60 * 1_000_000;

export const HISTOGRAM_SIGNIFICANT_DIGITS = 2;

export const HISTOGRAM_QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;

/** Series per metric name; further label sets share one series, so that callers cannot grow memory. */
export const MAX_SERIES_PER_METRIC = 2000;
