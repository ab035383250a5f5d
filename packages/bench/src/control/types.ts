/** One measured value at one size. */
export type Point = Readonly<{
	/** What was measured, as in `idle-store-calls`. */
	series: string;
	/** What the size counts. */
	axis: 'instances' | 'racks' | 'jobs';
	size: number;
	value: number;
	unit: string;
}>;

/** A target and the figure that was measured for it. */
export type Goal = Readonly<{
	name: string;
	target: string;
	figure: string;
	isMet: boolean;
}>;

export type Slope = Readonly<{
	series: string;
	axis: Point['axis'];
	unit: string;
	/** Value at size 0 by least squares. */
	intercept: number;
	/** Increase of the value for each unit of size. */
	perUnit: number;
}>;

export type Report = Readonly<{
	bench: 'control';
	isQuick: boolean;
	points: readonly Point[];
	slopes: readonly Slope[];
	goals: readonly Goal[];
}>;
