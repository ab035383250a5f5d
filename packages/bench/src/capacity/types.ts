/** Resource usage of one process over a measurement window. */
export type Usage = Readonly<{
	/** CPU seconds per second. */
	cpu: number;
	/** Bytes read and written per second. */
	bytesPerSecond: number;
	/** Resident memory in bytes at the end of the window. */
	memory: number;
}>;

/** Value measured at one size. */
export type Point = Readonly<{
	size: number;
	value: number;
}>;

/** Linear regression through measured points. */
export type Fit = Readonly<{
	slope: number;
	intercept: number;
	/** Coefficient of determination, 0 to 1. */
	rSquared: number;
	/** Residual standard error, in the unit of the value. */
	spread: number;
	/** Largest measured size; values beyond it are extrapolated. */
	maxSize: number;
}>;

export type Series = Readonly<{
	/** Names of the experiment and of the measured value, such as `workers/cpu`. */
	name: string;
	unit: string;
	/** Unit of the size, such as `jobs/s`. */
	per: string;
	points: readonly Point[];
	fit: Fit;
}>;

export type Scale = Readonly<{
	/** Duration of the measurement of one point. */
	windowMs: number;
	/** Delay between a change of size and the measurement. */
	settleMs: number;
	workers: readonly number[];
	instances: readonly number[];
	changesPerSecond: readonly number[];
	jobsPerSecond: readonly number[];
	requestsPerSecond: readonly number[];
	runningTasks: readonly number[];
	waitingJobs: readonly number[];
}>;

export type ProgressReporter = (line: string) => void;
