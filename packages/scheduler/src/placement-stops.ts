import {sleep} from '@bergamotgauge/lifecycle';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {stepOf, unitNameOf, type ActiveJob, type Part, type Placement} from './active-job.js';
import {STOP_RETRY_MS, STOP_SETTLE_MS} from './constants.js';
import {coreEquivalentsOf, type LeaderState} from './leader-state.js';
import type {Bounds} from './types.js';

export type PlacementStopsOptions = Readonly<{
	state: LeaderState;
	bounds: Bounds;
	log: Log;
	metrics: Metrics;
	now: () => number;
	signal: AbortSignal;
	removePlacement: (activeJob: ActiveJob, part: Part, placement: Placement) => void;
}>;

/** Stops of placed units. */
export type PlacementStops = Readonly<{
	/** Stops the units of a part, or those that are affected. */
	stop: (activeJob: ActiveJob, part: Part, reason: string, isAffected?: (placement: Placement) => boolean) => void;
	/** Retries a stop until it is accepted or not needed any more. */
	stopPlacement: (activeJob: ActiveJob, part: Part, placement: Placement) => Promise<void>;
}>;

/**
Creates the stops of a term.

@example
```ts
const {stop} = createPlacementStops({state, bounds, log, metrics, now, signal, removePlacement});
stop(activeJob, part, 'cancelled');
```
*/
export const createPlacementStops = (options: PlacementStopsOptions): PlacementStops => {
	const {state, bounds, log, metrics, now, signal, removePlacement} = options;

	/**
	Retries the stop until the worker has accepted it or is gone. The reported end, or a report without the run, then removes the placement.
	*/
	const stopPlacement = async (activeJob: ActiveJob, part: Part, placement: Placement) => {
		const unit = unitNameOf(activeJob, part, placement.index);
		while (!signal.aborted && part.placements.includes(placement)) {
			const link = state.links.get(placement.workerId);
			if (!link || link.state() === 'gone') {
				if (placement.heldUntilMs === undefined) {
					return;
				}

				if (now() >= placement.heldUntilMs) {
					removePlacement(activeJob, part, placement);
					return;
				}

				await sleep(STOP_RETRY_MS, signal);
				continue;
			}

			if (await link.stop(unit, placement.run)) {
				placement.stopAcceptedMs ??= now();
				link.wake();
				await sleep(bounds.stopMs + STOP_SETTLE_MS, signal);
				// The report with the end may be lost, and the next one comes seconds later.
				if (part.placements.includes(placement)) {
					await link.pollProgress();
				}

				return;
			}

			await sleep(STOP_RETRY_MS, signal);
		}
	};

	const lostCoreSeconds = (activeJob: ActiveJob, part: Part, placement: Placement): number => {
		const step = stepOf(activeJob, part);
		return step.checkpoints ? 0 : Math.round((coreEquivalentsOf(step) * (now() - placement.startedMs)) / 1000);
	};

	const stop = (
		activeJob: ActiveJob,
		part: Part,
		reason: string,
		isAffected: (placement: Placement) => boolean = () => true,
	) => {
		for (const placement of part.placements) {
			if (placement.phase !== 'stopping' && isAffected(placement)) {
				placement.phase = 'stopping';
				log.info('unit-stop', {
					unit: unitNameOf(activeJob, part, placement.index),
					run: placement.run,
					worker: placement.workerId,
					reason,
					ranMs: Math.round(now() - placement.startedMs),
					unsavedCoreS: lostCoreSeconds(activeJob, part, placement),
				});
				metrics.count('unit_stops_total', {reason});
				void stopPlacement(activeJob, part, placement);
			}
		}
	};

	return {stop, stopPlacement};
};
