import {sleep} from '@bergamotgauge/lifecycle';
import type {Log} from '@bergamotgauge/telemetry';
import {unitNameOf, type ActiveJob, type Part, type Placement} from './active-job.js';
import {LATE_ORDER_MS, THROTTLE_REPEAT_MS} from './constants.js';
import type {LeaderState} from './leader-state.js';

export type PlacementThrottleOptions = Readonly<{
	state: LeaderState;
	log: Log;
	now: () => number;
	signal: AbortSignal;
}>;

/** Throttles a placed unit to a share of its CPU, in percent. */
export type ThrottlePlacement = (
	activeJob: ActiveJob,
	part: Part,
	placement: Placement,
	percent: number,
) => Promise<void>;

/**
Creates the throttle of the placements of a term.

@example
```ts
const throttle = createPlacementThrottle({state, log, now, signal});
await throttle(activeJob, part, placement, 50);
```
*/
export const createPlacementThrottle = ({state, log, now, signal}: PlacementThrottleOptions): ThrottlePlacement => {
	const throttle: ThrottlePlacement = async (activeJob, part, placement, percent) => {
		const unit = unitNameOf(activeJob, part, placement.index);
		placement.throttlePercent = percent;
		// A repeat of this order must not replace a newer one.
		const isWanted = () => placement.throttlePercent === percent && part.placements.includes(placement);
		const result = await state.links.get(placement.workerId)?.throttle({unit, run: placement.run, percent}, isWanted);
		const isDone = result?.outcome === 'accepted';
		log.info('unit-pace', {unit, run: placement.run, worker: placement.workerId, percent, isDone});
		if (result?.outcome === 'unknown' || (isDone && result.isUncertain)) {
			const isRepeating = now() < placement.throttleDoubtUntilMs;
			placement.throttleDoubtUntilMs = now() + LATE_ORDER_MS;
			if (!isRepeating) {
				void repeatThrottle(activeJob, part, placement);
			}
		}

		if (!isDone && placement.throttlePercent === percent) {
			// The next pass sends the order again.
			placement.throttlePercent = undefined;
		}
	};

	/** Repeats the latest throttle while an older one without a response may still be carried out after it. */
	const repeatThrottle = async (activeJob: ActiveJob, part: Part, placement: Placement) => {
		while (now() < placement.throttleDoubtUntilMs) {
			await sleep(THROTTLE_REPEAT_MS, signal);
			if (signal.aborted || !part.placements.includes(placement)) {
				return;
			}

			if (placement.throttlePercent !== undefined) {
				await throttle(activeJob, part, placement, placement.throttlePercent);
			}
		}
	};

	return throttle;
};
