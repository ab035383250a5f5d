import {linearRegression, linearRegressionLine, mean, rSquared} from 'simple-statistics';
import type {Fit, Point} from './types.js';

/**
Fits a line through points by ordinary least squares.

@example
```ts
fitLine([{size: 1, value: 3}, {size: 2, value: 5}]).slope; // 2
```
*/
export const fitLine = (points: readonly Point[]): Fit => {
	const pairs = points.map(({size, value}) => [size, value]);
	const {m, b} = linearRegression(pairs);
	const line = linearRegressionLine({m, b});
	const squares = points.map(({size, value}) => (value - line(size)) ** 2);
	const degrees = Math.max(1, points.length - 2);
	return {
		slope: m,
		intercept: b,
		rSquared: rSquared(pairs, line),
		spread: Math.sqrt((mean(squares) * points.length) / degrees),
		maxSize: Math.max(...points.map(({size}) => size)),
	};
};

/** Predicted value at a size. */
export const valueAt = ({slope, intercept}: Fit, size: number): number => intercept + slope * size;
