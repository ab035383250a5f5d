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

/** Age up to which a start may rest on a view, so that it reaches the worker within the bound. Bounds below 0.94 s are not fully kept: no watch keeps a view recent enough. */
export const maxViewAgeMs = (boundMs: number): number => Math.max(boundMs - START_LEAD_MS, boundMs / 4);

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
		ages.workers.ageMs() <= maxViewAgeMs(bounds.drainNoticeMs);
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
