import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {START_LEAD_MS} from './constants.js';
import type {Bounds} from './types.js';
import type {ViewAges} from './view-ages.js';

export type StartGuardOptions = Readonly<{
	ages: ViewAges;
	bounds: Bounds;
	log: Log;
	metrics: Metrics;
}>;

/** Decides whether a leader's views are recent enough for starts. */
export type StartGuard = Readonly<{
	/** Whether a start may be sent now. */
	mayStart: () => boolean;
	/** Whether starts were paused at the last update. */
	isPaused: () => boolean;
	/** Logs when starts are paused or resumed. Returns whether they have been resumed since the last update. */
	update: () => boolean;
}>;

/** Least share of a bound up to which a start may rest on a view: no watch keeps a view recent enough for less. */
const MIN_VIEW_AGE_SHARE = 0.25;

/** Bounds on starts below this are not fully kept: a view of the least share and the way to the worker exceed them. */
export const MIN_START_BOUND_MS = START_LEAD_MS / (1 - MIN_VIEW_AGE_SHARE);

/** Age up to which a start may rest on a view, so that it reaches the worker within the bound, if that is at least `MIN_START_BOUND_MS`. */
export const maxViewAgeMs = (boundMs: number): number =>
	Math.max(boundMs - START_LEAD_MS, boundMs * MIN_VIEW_AGE_SHARE);

/**
Creates the guard of a term.

@example
```ts
const guard = createStartGuard({ages, bounds, log, metrics});
if (guard.mayStart()) await link.start(order, guard.mayStart);
```
*/
export const createStartGuard = ({ages, bounds, log, metrics}: StartGuardOptions): StartGuard => {
	const mayStart = (): boolean =>
		ages.jobs.ageMs() <= maxViewAgeMs(bounds.cancellationMs) &&
		ages.workers.ageMs() <= maxViewAgeMs(bounds.drainNoticeMs) &&
		(bounds.evacuationMs === undefined || ages.evacuations.ageMs() <= maxViewAgeMs(bounds.evacuationMs));
	let isPaused = true;
	metrics.gauge('starts_paused', 1);
	return {
		mayStart,
		isPaused: () => isPaused,
		update() {
			if (mayStart() !== isPaused) {
				return false;
			}

			isPaused = !isPaused;
			log.info(isPaused ? 'starts-paused' : 'starts-resumed', ages.fields());
			metrics.gauge('starts_paused', isPaused ? 1 : 0);
			return !isPaused;
		},
	};
};
