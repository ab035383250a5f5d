import process from 'node:process';
import {BYTES_GOAL, CPU_GOAL, IDLE_CALLS_GOAL, IN_FORCE_GOAL_MS, TAKEOVER_GOAL_MS} from './constants.js';
import type {Goal, Point, Slope} from './types.js';

/** Quantile of unsorted values by the nearest-rank method. */
export const quantile = (values: readonly number[], share: number): number => {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? Number.NaN;
};

const fitLine = (points: readonly Point[]): Pick<Slope, 'intercept' | 'perUnit'> => {
	const meanX = points.reduce((sum, {size}) => sum + size, 0) / points.length;
	const meanY = points.reduce((sum, {value}) => sum + value, 0) / points.length;
	const covariance = points.reduce((sum, {size, value}) => sum + (size - meanX) * (value - meanY), 0);
	const variance = points.reduce((sum, {size}) => sum + (size - meanX) ** 2, 0);
	const perUnit = covariance / variance;
	return {perUnit, intercept: meanY - perUnit * meanX};
};

/** Fits a line by least squares through each series that has at least two sizes. */
export const slopesOf = (points: readonly Point[]): readonly Slope[] => {
	const groups = new Map<string, Point[]>();
	for (const point of points) {
		const key = `${point.series}/${point.axis}`;
		groups.set(key, [...(groups.get(key) ?? []), point]);
	}

	return [...groups.values()]
		.filter((group) => new Set(group.map(({size}) => size)).size > 1)
		.map((group) => {
			const {series, axis, unit} = group[0]!;
			return {series, axis, unit, ...fitLine(group)};
		});
};

const valuesOf = (points: readonly Point[], series: string): readonly Point[] =>
	points.filter((point) => point.series === series && point.axis === 'instances');

const worst = (points: readonly Point[], series: string): number =>
	Math.max(...valuesOf(points, series).map(({value}) => value));

const valueAtNineInstances = (points: readonly Point[], series: string): number =>
	valuesOf(points, series).find(({size}) => size === 9)?.value ?? Number.NaN;

/** Compares the measured values with the goals of the design document. */
export const goalsOf = (points: readonly Point[]): readonly Goal[] => {
	const atMost = (name: string, limit: number, value: number, unit: string): Goal => ({
		name,
		target: `<= ${limit} ${unit}`,
		figure: `${Number(value.toPrecision(4))} ${unit}`,
		isMet: value <= limit,
	});
	const calls = valuesOf(points, 'idle-store-calls');
	const [first, last] = [calls.at(0)!, calls.at(-1)!];
	const sizeGrowth = last.size / first.size;
	const callGrowth = last.value / first.value;
	return [
		atMost('apply to in force everywhere, max at any size', IN_FORCE_GOAL_MS, worst(points, 'in-force-max'), 'ms'),
		atMost('takeover after SIGKILL, worst', TAKEOVER_GOAL_MS, worst(points, 'takeover-sigkill'), 'ms'),
		atMost('takeover after SIGSTOP, worst', TAKEOVER_GOAL_MS, worst(points, 'takeover-sigstop'), 'ms'),
		atMost(
			'idle store calls per instance at 9',
			IDLE_CALLS_GOAL,
			valueAtNineInstances(points, 'idle-store-calls') / 9,
			'calls/s',
		),
		{
			name: 'idle store calls grow more slowly than instances',
			target: `< ${sizeGrowth.toFixed(1)}x`,
			figure: `${callGrowth.toFixed(2)}x`,
			isMet: callGrowth < sizeGrowth,
		},
		atMost('idle bytes of the busiest instance, worst', BYTES_GOAL, worst(points, 'idle-bytes-max'), 'bytes/s'),
		atMost('idle CPU of the busiest instance, worst', CPU_GOAL, worst(points, 'idle-cpu-max'), 'cores'),
	];
};

const print = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

export const printReport = (points: readonly Point[], slopes: readonly Slope[], goals: readonly Goal[]): void => {
	for (const {series, axis, size, value, unit} of points) {
		print(`${series.padEnd(24)} ${String(size).padStart(5)} ${axis.padEnd(9)} ${Number(value.toPrecision(4))} ${unit}`);
	}

	print('');
	for (const {series, axis, perUnit, intercept, unit} of slopes) {
		print(
			`slope ${series.padEnd(24)} over ${axis.padEnd(9)} ${perUnit.toPrecision(3)} ${unit} each, ${intercept.toPrecision(3)} at 0`,
		);
	}

	print('');
	for (const {name, target, figure, isMet} of goals) {
		print(`${isMet ? 'met    ' : 'not met'} ${name}: goal ${target}, figure ${figure}`);
	}
};
