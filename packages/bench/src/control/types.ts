/** Value measured at one size. */
export type Point = Readonly<{
	/** Name of the measured quantity, such as `idle-store-calls`. */
	series: string;
	/** Quantity that the size counts. */
	axis: 'instances' | 'racks' | 'jobs';
	size: number;
	value: number;
	unit: string;
}>;

/** A performance target and the value measured against it. */
export type Goal = Readonly<{
	name: string;
	target: string;
	/** Measured value with its unit. */
	figure: string;
	isMet: boolean;
}>;

export type Slope = Readonly<{
	series: string;
	axis: Point['axis'];
	unit: string;
	/** Value at size 0, by ordinary least squares. */
	intercept: number;
	/** Increase of the value per unit of size. */
	perUnit: number;
}>;

export type Report = Readonly<{
	bench: 'control';
	isQuick: boolean;
	points: readonly Point[];
	slopes: readonly Slope[];
	goals: readonly Goal[];
}>;
