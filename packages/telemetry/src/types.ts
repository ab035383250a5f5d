export type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Writes one key=value line for each event. */
export type Log = Readonly<Record<LogLevel, (event: string, fields?: Fields) => void>> &
	Readonly<{with: (fields: Fields) => Log}>;

/** Destination of log lines; `write` must not block. */
export type LogOutput = Readonly<{write: (text: string) => unknown}>;

export type MetricLabels = Readonly<Record<string, string>>;

/** Counters, gauges and histograms of one process. */
export type Metrics = Readonly<{
	/** Adds to a counter. */
	count: (name: string, labels?: MetricLabels, by?: number) => void;
	/** Sets a gauge. */
	gauge: (name: string, value: number, labels?: MetricLabels) => void;
	/** Records a duration in a histogram. */
	observe: (name: string, milliseconds: number, labels?: MetricLabels) => void;
	/** Value of a counter or gauge; 0 when it was never set. */
	read: (name: string, labels?: MetricLabels) => number;
	/** Returns all metrics in the Prometheus text format. */
	render: () => string;
}>;
