import {createLifecycle, sleep, type Lifecycle} from '@bergamotgauge/lifecycle';
import {
	CONNECTIONS,
	GOAL_FAIR_SHARE,
	GOAL_GOODPUT_RATIO,
	GOAL_LEAVING_MS,
	GOAL_THROUGHPUT_RATIO,
	GOAL_UTILISATION,
	SLOTS,
} from './constants.js';
import {runFaults} from './faults.js';
import {createCaller, runClosedLoop, runOpenLoop, type Caller, type LoadResult} from './load.js';
import {startBaseline, startEdge, startPlatform, type Edge, type Platform} from './processes.js';
import type {Figure} from './types.js';

/** Run time of a request. Long enough that the slots limit throughput, and not the CPU of a shared machine. */
const RUN_MS = 200;

const GROUP_ENDPOINT_COUNT = 6;

const DEADLINE_MS = 1000;

export type BenchOptions = Readonly<{quick: boolean}>;

const atLeast = (name: string, value: number, goal: number, unit = ''): Figure => ({
	name,
	goal: `≥ ${goal}${unit}`,
	figure: `${value.toFixed(3)}${unit}`,
	value,
	isMet: value >= goal,
});

const atMost = (name: string, value: number, goal: number, unit = ''): Figure => ({
	name,
	goal: `≤ ${goal}${unit}`,
	figure: `${value.toFixed(value < 10 && unit === '' ? 3 : 0)}${unit}`,
	value,
	isMet: value <= goal,
});

const withoutGoal = (name: string, value: number, unit: string): Figure => ({
	name,
	goal: '–',
	figure: `${value.toFixed(1)}${unit}`,
	value,
	isMet: true,
});

const median = (values: readonly number[]): number => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;

const p99 = (result: LoadResult): number => result.histogram.getValueAtPercentile(99) / 1000;

const withLifecycle = async (
	work: (lifecycle: Lifecycle) => Promise<readonly Figure[]>,
): Promise<readonly Figure[]> => {
	const lifecycle = createLifecycle('bench-edge');
	try {
		return await work(lifecycle);
	} finally {
		await lifecycle.close();
	}
};

const callersOf = (edge: Edge, customer: string, connections: number, lifecycle: Lifecycle): readonly Caller[] =>
	edge.instances.map(({ready}) => {
		const caller = createCaller(ready.address, edge.tokens[customer]!, connections);
		lifecycle.add('caller', caller.close);
		return caller;
	});

/** Compares one instance with the baseline proxy in alternating rounds, with 30 endpoints that respond immediately. */
export const measureThroughput = async ({quick}: BenchOptions): Promise<readonly Figure[]> =>
	withLifecycle(async (lifecycle) => {
		const platform = await startPlatform(lifecycle, 30);
		const [baselineAddress, edge] = await Promise.all([
			startBaseline(lifecycle, platform),
			startEdge(lifecycle, platform, 1),
		]);
		const baselineCallers = [createCaller(baselineAddress, '', 64)];
		lifecycle.add('caller', baselineCallers[0]!.close);
		const instanceCallers = callersOf(edge, 'steady', 64, lifecycle);
		const load = {concurrency: 64, durationMs: quick ? 1500 : 5000};
		await runClosedLoop(baselineCallers, {...load, durationMs: 1500});
		await runClosedLoop(instanceCallers, {...load, durationMs: 1500});
		const baselineRates: number[] = [];
		const instanceRates: number[] = [];
		for (let round = 0; round < (quick ? 2 : 7); round += 1) {
			const baselineRound = await runClosedLoop(baselineCallers, load);
			baselineRates.push(baselineRound.goodPerSecond);
			const instanceRound = await runClosedLoop(instanceCallers, load);
			instanceRates.push(instanceRound.goodPerSecond);
		}

		return [
			withoutGoal('throughput of the bare pass-through, median', median(baselineRates), ' /s'),
			withoutGoal('throughput of one instance, median', median(instanceRates), ' /s'),
			atLeast('throughput ratio', median(instanceRates) / median(baselineRates), GOAL_THROUGHPUT_RATIO),
		];
	});

const measureOverload = async (platform: Platform, callers: readonly Caller[], quick: boolean) => {
	const durationMs = quick ? 4000 : 15_000;
	await platform.sendCommand({kind: 'configure', runMs: RUN_MS});
	// Warm-up: slots are redistributed according to the load before the measurement starts.
	await runClosedLoop(callers, {concurrency: GROUP_ENDPOINT_COUNT * SLOTS * 2, durationMs: 3000});
	await platform.sendCommand({kind: 'reset'});
	const peak = await runClosedLoop(callers, {concurrency: GROUP_ENDPOINT_COUNT * SLOTS * 2, durationMs});
	const stats = await platform.sendCommand({kind: 'stats'});
	const busyMs = Object.values(stats.busyMs).reduce((sum, value) => sum + value, 0);
	const utilisation = busyMs / (stats.elapsedMs * GROUP_ENDPOINT_COUNT * SLOTS);
	const perSecond = Math.round(peak.goodPerSecond * 2);
	const overload = await runOpenLoop(callers, {perSecond, durationMs, deadlineMs: DEADLINE_MS});
	return {
		peak: peak.goodPerSecond,
		figures: [
			withoutGoal('peak goodput of 3 instances, 6 endpoints of 8 slots, 200 ms', peak.goodPerSecond, ' /s'),
			atLeast('slot utilisation at saturation', utilisation, GOAL_UTILISATION),
			atMost('most slots of one endpoint in use', Math.max(...Object.values(stats.peak)), SLOTS),
			withoutGoal('requests that an endpoint refused for lack of a slot', stats.refused, ''),
			atLeast('goodput at 2x overload over the peak', overload.goodPerSecond / peak.goodPerSecond, GOAL_GOODPUT_RATIO),
			atMost('p99 of admitted requests at 2x overload', p99(overload), DEADLINE_MS, ' ms'),
			withoutGoal('admitted requests that were late or ended without an answer', overload.late, ''),
			withoutGoal('requests refused at 2x overload', overload.refused, ''),
			atMost('requests that failed without a verdict at 2x overload', overload.failed, 0),
		],
	};
};

const measureFairness = async (edge: Edge, peak: number, lifecycle: Lifecycle, quick: boolean): Promise<Figure> => {
	const durationMs = quick ? 4000 : 15_000;
	const [steady] = await Promise.all([
		runOpenLoop(callersOf(edge, 'steady', 200, lifecycle), {
			perSecond: Math.round(peak * 0.2),
			durationMs,
			deadlineMs: DEADLINE_MS,
		}),
		runOpenLoop(callersOf(edge, 'flood', 400, lifecycle), {
			perSecond: Math.round(peak * 2),
			durationMs,
			deadlineMs: DEADLINE_MS,
		}),
	]);
	return atLeast(
		'share of a steady customer within its deadline while another floods',
		steady.good / steady.sent,
		GOAL_FAIR_SHARE,
	);
};

const measureLeaving = async (platform: Platform, callers: readonly Caller[]): Promise<readonly Figure[]> => {
	const figures: Figure[] = [];
	for (const [kind, endpoint] of [
		['drain', 'runner-6'],
		['list-leaving', 'runner-5'],
	] as const) {
		const load = runClosedLoop(callers, {concurrency: 48, durationMs: 4000});
		await sleep(1000);
		await platform.sendCommand({kind, endpoint});
		await load;
		const {lastAfterLeavingMs} = await platform.sendCommand({kind: 'stats'});
		const name = kind === 'drain' ? 'its draining answer' : 'the instance list';
		figures.push(
			atMost(`last request to a leaving endpoint after ${name}`, lastAfterLeavingMs[endpoint]!, GOAL_LEAVING_MS, ' ms'),
		);
	}

	return figures;
};

/** Measures three instances and six endpoints: saturation, overload, fairness, leaving endpoints and faults. */
export const measureGroup = async ({quick}: BenchOptions): Promise<readonly Figure[]> =>
	withLifecycle(async (lifecycle) => {
		const platform = await startPlatform(lifecycle, GROUP_ENDPOINT_COUNT);
		const edge = await startEdge(lifecycle, platform, 3);
		const callers = callersOf(edge, 'steady', 400, lifecycle);
		const {peak, figures} = await measureOverload(platform, callers, quick);
		const fairness = await measureFairness(edge, peak, lifecycle, quick);
		const leaving = await measureLeaving(platform, callers);
		const faults = await runFaults(platform, edge, callers, quick ? 7000 : 20_000);
		const {peakConnections} = await platform.sendCommand({kind: 'stats'});
		return [
			...figures,
			fairness,
			...leaving,
			withoutGoal('requests under kill, freeze and silent connections', faults.requests, ''),
			atMost('at-most-once requests that ran twice', faults.duplicates, 0),
			atMost('requests lost or with a false verdict', faults.losses, 0),
			atMost("answers of another caller's request", faults.mismatched, 0),
			atMost('most connections to one endpoint', Math.max(...Object.values(peakConnections)), CONNECTIONS),
			withoutGoal('at-most-once requests without their answer', faults.uncertain, ''),
		];
	});
