import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {START_LEAD_MS, WATCH_WAIT_MS} from './constants.js';
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
	/** Logs when starts are paused or resumed. Returns whether they have been resumed since the last update. */
	update: () => boolean;
}>;

/** Age up to which a start may rest on a view, so that it reaches the worker within the bound on outdated starts. */
export const maxViewAgeMs = (boundMs: number): number => Math.max(boundMs - START_LEAD_MS, boundMs / 4);

/** Timing of the watch on a view, in milliseconds. */
export type ViewTiming = Readonly<{waitMs: () => number; pauseMs: () => number}>;

/**
Times the watch on a view so that the view stays recent enough for starts. Before a response, a view can be as old as two waits and a pause, which take up at most 13/15 of its greatest age; the rest is left to the store.

@example
```ts
await watchView({...viewTiming(() => bounds.cancellationMs, WATCH_PAUSE_MS), ...options});
```
*/
export const viewTiming = (boundMs: () => number, maxPauseMs: number): ViewTiming => ({
	waitMs: () => Math.min(WATCH_WAIT_MS, maxViewAgeMs(boundMs()) / 3),
	pauseMs: () => Math.min(maxPauseMs, maxViewAgeMs(boundMs()) / 5),
});

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
	return {
		mayStart,
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
