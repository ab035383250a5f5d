import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {stepOf, type ActiveJob, type Part} from '../active-job.js';
import type {LeaderState, PlacedUnit} from '../leader-state.js';
import {PAIR_REPORT_MS} from './constants.js';

/** Kind of work of a part: what its units run, as far as the job says it, otherwise its queue. */
export const kindOf = (activeJob: ActiveJob, part: Part): string =>
	stepOf(activeJob, part).image || activeJob.job.queue;

/** Kinds of the other units on the worker. */
const neighbourKinds = ({placementIndex}: LeaderState, {part, placement}: PlacedUnit): readonly string[] =>
	(placementIndex.byWorker.get(placement.workerId) ?? [])
		.filter((other) => other.part !== part)
		.map((other) => kindOf(other.activeJob, other.part));

/** Observes the runs of a term that share their workers, and reports what is known. */
export type SharedRuns = Readonly<{
	/** Counts how many times longer than the same work elsewhere a run takes, for the kinds of work beside it. */
	observe: (placed: PlacedUnit, slowdown: number) => void;
	/** Sets the gauges, and logs the pairs and the mean slow-downs when the pairs have changed; at most once each `PAIR_REPORT_MS`. */
	report: () => void;
}>;

/**
Creates the observer of a term.

@example
```ts
const sharedRuns = createSharedRuns({state, log, metrics, now});
sharedRuns.observe(placed, 1.4);
```
*/
export const createSharedRuns = ({
	state,
	log,
	metrics,
	now,
}: Readonly<{state: LeaderState; log: Log; metrics: Metrics; now: () => number}>): SharedRuns => {
	const sums = {shared: {runs: 0, slowdown: 0}, alone: {runs: 0, slowdown: 0}};
	let reportedMs = Number.NEGATIVE_INFINITY;
	let reported = '0 0';

	/** Mean slow-down in percent; `undefined` without a run. */
	const meanPercent = ({runs, slowdown}: Readonly<{runs: number; slowdown: number}>): number | undefined =>
		runs > 0 ? Math.round((100 * slowdown) / runs) : undefined;

	return {
		observe(placed, slowdown) {
			const neighbours = neighbourKinds(state, placed);
			const kind = kindOf(placed.activeJob, placed.part);
			state.interference.observe({kind, neighbours, slowdown, nowMs: now()});
			const sum = neighbours.length > 0 ? sums.shared : sums.alone;
			sum.runs += 1;
			sum.slowdown += slowdown;
			metrics.observe('run_slowdown_percent', slowdown * 100, {shared: neighbours.length > 0 ? 'yes' : 'no'});
		},
		report() {
			if (now() - reportedMs < PAIR_REPORT_MS) {
				return;
			}

			reportedMs = now();
			const {known, harmful} = state.interference.countPairs(now());
			metrics.gauge('interference_pairs_known', known);
			metrics.gauge('interference_pairs_harmful', harmful);
			if (reported !== `${known} ${harmful}`) {
				reported = `${known} ${harmful}`;
				log.info('interference-pairs', {
					known,
					harmful,
					sharedRuns: sums.shared.runs,
					sharedPercent: meanPercent(sums.shared),
					aloneRuns: sums.alone.runs,
					alonePercent: meanPercent(sums.alone),
				});
			}
		},
	};
};
