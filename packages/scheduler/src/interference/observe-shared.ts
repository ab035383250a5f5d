import type {Metrics} from '@bergamotgauge/telemetry';
import {stepOf, type ActiveJob, type Part} from '../active-job.js';
import type {LeaderState, PlacedUnit} from '../leader-state.js';

/** Kind of work of a part: what its units run, as far as the job says it, otherwise its queue. */
export const kindOf = (activeJob: ActiveJob, part: Part): string =>
	stepOf(activeJob, part).image || activeJob.job.queue;

/** Kinds of the other units on the worker. */
const neighbourKinds = ({placementIndex}: LeaderState, {part, placement}: PlacedUnit): readonly string[] =>
	(placementIndex.byWorker.get(placement.workerId) ?? [])
		.filter((other) => other.part !== part)
		.map((other) => kindOf(other.activeJob, other.part));

/** Counts how much slower than the same work elsewhere a run is, for the kinds of work beside it. */
export const observeShared = (
	state: LeaderState,
	placed: PlacedUnit,
	{slowdown, nowMs, metrics}: Readonly<{slowdown: number; nowMs: number; metrics: Metrics}>,
): void => {
	const neighbours = neighbourKinds(state, placed);
	const kind = kindOf(placed.activeJob, placed.part);
	state.interference.observe({kind, neighbours, slowdown, nowMs});
	metrics.observe('run_slowdown_percent', slowdown * 100, {shared: neighbours.length > 0 ? 'yes' : 'no'});
};

/** Sets the gauges of the known pairs of kinds. */
export const reportPairs = ({interference}: LeaderState, metrics: Metrics, nowMs: number): void => {
	const {known, harmful} = interference.countPairs(nowMs);
	metrics.gauge('interference_pairs_known', known);
	metrics.gauge('interference_pairs_harmful', harmful);
};
