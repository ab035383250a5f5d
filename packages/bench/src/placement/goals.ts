import type {PassTiming} from './pass-timing.js';
import type {ReplayResult} from './types.js';

export type Summary = Readonly<{median: number; worst: number}>;

export type Goal = Readonly<{name: string; target: string; measured: string; isMet: boolean}>;

export const summarise = (values: readonly number[]): Summary => {
	const sorted = values.toSorted((a, b) => a - b);
	return {median: sorted[Math.floor(sorted.length / 2)] ?? 0, worst: sorted.at(-1) ?? 0};
};

const resultsOf = (results: readonly ReplayResult[], trace: string, policy: string): ReplayResult[] =>
	results.filter((result) => result.trace === trace && result.policy === policy);

/** Ratio of the planner's value to the baseline's by seed. */
const ratios = (
	results: readonly ReplayResult[],
	[trace, baseline]: readonly [string, string],
	value: (result: ReplayResult) => number,
): number[] =>
	resultsOf(results, trace, 'ours').map((plannerResult) => {
		const baselineResult = resultsOf(results, trace, baseline).find(({seed}) => seed === plannerResult.seed)!;
		return value(plannerResult) / Math.max(1e-9, value(baselineResult));
	});

const formatNumber = (value: number): string => String(Number(value.toPrecision(3)));

const createGoal = (name: string, limit: number, {median, worst}: Summary): Goal => ({
	name,
	target: `<= ${limit}`,
	measured: `median ${formatNumber(median)}, worst ${formatNumber(worst)}`,
	isMet: worst <= limit,
});

/** Evaluates the goals of the design document. A goal is met when the worst seed meets it, not only the median. */
export const goalsOf = (results: readonly ReplayResult[], timings: readonly PassTiming[]): readonly Goal[] => {
	const plannerResults = results.filter(({policy}) => policy === 'ours');
	const largest = timings.at(-1)!;
	const worstOf = (value: (result: ReplayResult) => number) => summarise(plannerResults.map((result) => value(result)));
	return [
		createGoal(
			'invariant violations, all traces',
			0,
			worstOf(({violations}) => violations),
		),
		createGoal(
			'partial gangs, all traces',
			0,
			worstOf(({partialGangs}) => partialGangs),
		),
		createGoal(
			'p95 completion over ideal against FIFO first-fit, quebec-day',
			0.5,
			summarise(ratios(results, ['quebec-day', 'fifo-first-fit'], ({ratioP95}) => ratioP95)),
		),
		createGoal(
			'p95 completion over ideal against EASY, quebec-day',
			1,
			summarise(ratios(results, ['quebec-day', 'easy-backfill'], ({ratioP95}) => ratioP95)),
		),
		createGoal(
			'fragmentation against FIFO best-fit, lima-day',
			0.4,
			summarise(ratios(results, ['lima-day', 'fifo-best-fit'], ({fragmentation}) => fragmentation)),
		),
		createGoal(
			'lost accelerator-hours in %, all traces',
			2,
			worstOf(({lostShare}) => lostShare * 100),
		),
		createGoal(
			'urgent start p99 in s, all traces',
			1.1,
			worstOf(({urgentStartP99Seconds}) => urgentStartP99Seconds),
		),
		createGoal('full pass p99 in ms, two-year size', 20, {median: largest.passP50Ms, worst: largest.passP99Ms}),
		createGoal('one arrival p99 in ms, two-year size', 2, {median: largest.arrivalP50Ms, worst: largest.arrivalP99Ms}),
	];
};
