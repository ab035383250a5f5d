/** What one process used during a time. */
export type Usage = Readonly<{
	/** CPU seconds for each second. */
	cpu: number;
	/** Bytes read and written for each second. */
	bytesPerSecond: number;
	/** Resident memory in bytes at the end. */
	memory: number;
}>;

/** A measured point of a slope. */
export type Point = Readonly<{
	size: number;
	value: number;
}>;

/** A straight line through measured points. */
export type Fit = Readonly<{
	slope: number;
	intercept: number;
	/** Share of the variance that the line explains, 0 to 1. */
	rSquared: number;
	/** Standard error of the residuals, in the unit of the value. */
	spread: number;
	maxSize: number;
}>;

export type Series = Readonly<{
	/** Name of the experiment and of the measured value, as in `workers/cpu`. */
	name: string;
	unit: string;
	/** Unit of the size. */
	per: string;
	points: readonly Point[];
	fit: Fit;
}>;

export type Scale = Readonly<{
	/** Time over which one point is measured. */
	windowMs: number;
	/** Time between a change of size and the measurement. */
	settleMs: number;
	workers: readonly number[];
	instances: readonly number[];
	changesPerSecond: readonly number[];
	jobsPerSecond: readonly number[];
	requestsPerSecond: readonly number[];
	runningTasks: readonly number[];
	waitingJobs: readonly number[];
}>;

export type Progress = (line: string) => void;
