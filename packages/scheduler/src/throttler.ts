import {FIGURE_MAX_AGE_MS, SUSPEND_AFTER_SHARE, THROTTLE_UP_RATIO} from './throttle-constants.js';
import {stepOf} from './active-job.js';
import type {LeaderState, PlacedUnit} from './leader-state.js';
import {initialThrottle, nextThrottle, type ThrottleState} from './throttle.js';
import type {Placements} from './placements.js';
import type {Bounds} from './types.js';

export type ThrottlerOptions = Readonly<{
	state: LeaderState;
	placements: Pick<Placements, 'throttle'>;
	bounds: Bounds;
	now: () => number;
}>;

/** Throttles best-effort units where they interfere with latency-sensitive ones. */
export type Throttler = Readonly<{
	/** Updates the throttles from the newest reports and orders the changes. Returns the workers that run units of both kinds. */
	pass: () => ReadonlySet<string>;
	/** Whether best-effort units on the worker are throttled. */
	isContended: (workerId: string) => boolean;
}>;

const isLatencySensitive = ({activeJob, part, placement}: PlacedUnit): boolean =>
	stepOf(activeJob, part).tailTargetMs !== undefined && placement.phase === 'running';

const isBestEffort = ({activeJob, part, placement}: PlacedUnit): boolean =>
	stepOf(activeJob, part).usesLeftover && placement.phase === 'running';

/** Ratio of the unit's tail latency to its target; 0 while it is not known. An old figure may lower the CPU share of best-effort units but not raise it. */
const latencyRatioOf = ({activeJob, part, placement}: PlacedUnit, nowMs: number): number => {
	const ratio = (placement.recentFigure ?? 0) / (stepOf(activeJob, part).tailTargetMs ?? Number.POSITIVE_INFINITY);
	return nowMs - placement.reportedMs <= FIGURE_MAX_AGE_MS ? ratio : Math.max(ratio, THROTTLE_UP_RATIO);
};

/**
Creates the throttler of a term.

@example
```ts
const throttler = createThrottler({state, placements, bounds, now});
fleet.setShared(throttler.pass());
```
*/
export const createThrottler = ({state, placements, bounds, now}: ThrottlerOptions): Throttler => {
	const throttles = new Map<string, ThrottleState>();

	const throttleWorker = (
		workerId: string,
		latencySensitive: readonly PlacedUnit[],
		bestEffort: readonly PlacedUnit[],
	) => {
		const latencyRatio = Math.max(...latencySensitive.map((placed) => latencyRatioOf(placed, now())));
		const known = throttles.get(workerId);
		const throttle = known
			? nextThrottle(known, {
					latencyRatio,
					nowMs: now(),
					suspendAfterMs: bounds.maxInterferenceMs * SUSPEND_AFTER_SHARE,
				})
			: initialThrottle(now());
		throttles.set(workerId, throttle);
		for (const {activeJob, part, placement} of bestEffort) {
			if (placement.throttlePercent !== throttle.percent) {
				placements.throttle(activeJob, part, placement, throttle.percent);
			}
		}
	};

	/** Lifts the throttle on a worker that runs no latency-sensitive units any more. */
	const release = (workerId: string, bestEffort: readonly PlacedUnit[]) => {
		throttles.delete(workerId);
		for (const {activeJob, part, placement} of bestEffort) {
			if (placement.throttlePercent !== 100) {
				placements.throttle(activeJob, part, placement, 100);
			}
		}
	};

	return {
		pass() {
			const shared = new Set<string>();
			for (const [workerId, placed] of state.placementIndex.byWorker) {
				const bestEffort = placed.filter((placedUnit) => isBestEffort(placedUnit));
				if (bestEffort.length === 0) {
					throttles.delete(workerId);
					continue;
				}

				const latencySensitive = placed.filter((placedUnit) => isLatencySensitive(placedUnit));
				if (latencySensitive.length === 0) {
					release(workerId, bestEffort);
				} else {
					shared.add(workerId);
					throttleWorker(workerId, latencySensitive, bestEffort);
				}
			}

			return shared;
		},
		isContended: (workerId) => (throttles.get(workerId)?.percent ?? 100) < 100,
	};
};
