import {summarise, type Goal} from './goals.js';
import type {PassTiming} from './pass-timing.js';
import type {ReplayResult} from './types.js';

const formatNumber = (value: number): string => String(Number(value.toPrecision(3)));

const COLUMNS: ReadonlyArray<readonly [string, (result: ReplayResult) => number]> = [
	['p50', ({ratioP50}) => ratioP50],
	['p95', ({ratioP95}) => ratioP95],
	['fragmentation', ({fragmentation}) => fragmentation],
	['used', ({utilisation}) => utilisation],
	['lost %', ({lostShare}) => lostShare * 100],
	['urgent p99 s', ({urgentStartP99Seconds}) => urgentStartP99Seconds],
	['violations', ({violations}) => violations],
	['evictions', ({evictions}) => evictions],
	['wrongly failed', ({wronglyFailed}) => wronglyFailed],
	['unfinished', ({unfinished}) => unfinished],
	['pass p99 ms', ({passP99Ms}) => passP99Ms],
];

const row = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;

const table = (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string =>
	[row(header), row(header.map(() => '---')), ...rows.map((cells) => row(cells))].join('\n');

export const replayTable = (results: readonly ReplayResult[]): string => {
	const groups = new Map<string, ReplayResult[]>();
	for (const result of results) {
		const key = `${result.trace}\n${result.policy}`;
		groups.set(key, [...(groups.get(key) ?? []), result]);
	}

	const rows = [...groups].map(([key, group]) => [
		...key.split('\n'),
		...COLUMNS.map(([, value]) => {
			const {median, worst} = summarise(group.map((result) => value(result)));
			return median === worst ? formatNumber(median) : `${formatNumber(median)} / ${formatNumber(worst)}`;
		}),
	]);
	return table(['trace', 'policy', ...COLUMNS.map(([name]) => name)], rows);
};

export const timingTable = (timings: readonly PassTiming[]): string =>
	table(
		[
			'accelerators',
			'workers',
			'running',
			'waiting',
			'customers',
			'pass p50',
			'pass p99',
			'arrival p50',
			'arrival p99',
		],
		timings.map((timing) =>
			[
				timing.accelerators,
				timing.workers,
				timing.running,
				timing.waiting,
				timing.customers,
				timing.passP50Ms,
				timing.passP99Ms,
				timing.arrivalP50Ms,
				timing.arrivalP99Ms,
			].map((value) => formatNumber(value)),
		),
	);

/** Growth exponent between the smallest and the largest size; 1 means linear growth. */
export const slope = (timings: readonly PassTiming[], value: (timing: PassTiming) => number): number => {
	const first = timings[0]!;
	const last = timings.at(-1)!;
	return Math.log(value(last) / value(first)) / Math.log(last.accelerators / first.accelerators);
};

export const goalTable = (goals: readonly Goal[]): string =>
	table(
		['goal', 'target', 'measured', 'met'],
		goals.map(({name, target, measured, isMet}) => [name, target, measured, isMet ? 'yes' : 'NO']),
	);
