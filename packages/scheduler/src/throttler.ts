import {SUSPEND_AFTER_SHARE} from './constants.js';
import {stepOf} from './job-run.js';
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

/** Slows units that use what others leave, where they disturb units with users of their own. */
export type Throttler = Readonly<{
	/** Decides by the newest reports and orders what has changed. Returns the workers that run units of both kinds. */
	pass: () => ReadonlySet<string>;
	/** Whether units with users of their own are short of room on the worker. */
	isContended: (workerId: string) => boolean;
}>;

const isLatencySensitive = ({run, part, placement}: PlacedUnit): boolean =>
	stepOf(run, part).tailTargetMs !== undefined && placement.phase === 'running';

const isBestEffort = ({run, part, placement}: PlacedUnit): boolean =>
	stepOf(run, part).usesLeftover && placement.phase === 'running';

/** Ratio of the unit's response times to their target; 0 while none are known. */
const latencyRatioOf = ({run, part, placement}: PlacedUnit): number =>
	(placement.recentFigure ?? 0) / (stepOf(run, part).tailTargetMs ?? Number.POSITIVE_INFINITY);

/**
Creates the pacer of a term.

@example
```ts
const pacer = createPacer({state, placements, bounds, now});
fleet.setShared(pacer.pass());
```
*/
export const createThrottler = ({state, placements, bounds, now}: ThrottlerOptions): Throttler => {
	const throttles = new Map<string, ThrottleState>();

	const throttleWorker = (
		workerId: string,
		latencySensitive: readonly PlacedUnit[],
		bestEffort: readonly PlacedUnit[],
	) => {
		const latencyRatio = Math.max(...latencySensitive.map((placed) => latencyRatioOf(placed)));
		const known = throttles.get(workerId);
		const throttle = known
			? nextThrottle(known, {latencyRatio, nowMs: now(), suspendAfterMs: bounds.harmMs * SUSPEND_AFTER_SHARE})
			: initialThrottle(now());
		throttles.set(workerId, throttle);
		for (const {run, part, placement} of bestEffort) {
			if (placement.throttlePercent !== throttle.percent) {
				placements.throttle(run, part, placement, throttle.percent);
			}
		}
	};

	/** Nothing is disturbed any more, so that the rest works at full speed. */
	const release = (workerId: string, bestEffort: readonly PlacedUnit[]) => {
		throttles.delete(workerId);
		for (const {run, part, placement} of bestEffort) {
			if (placement.throttlePercent !== 100) {
				placements.throttle(run, part, placement, 100);
			}
		}
	};

	return {
		pass() {
			const shared = new Set<string>();
			for (const [workerId, placed] of state.index.placed) {
				const bestEffort = placed.filter((one) => isBestEffort(one));
				if (bestEffort.length === 0) {
					throttles.delete(workerId);
					continue;
				}

				const latencySensitive = placed.filter((one) => isLatencySensitive(one));
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
