import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {Log} from '@bergamotgauge/telemetry';
import {
	IDLE_PLAN_INTERVAL_MS,
	MAX_PLAN_PAUSE_MS,
	PLAN_DELAY_MS,
	PLAN_INTERVAL_MS,
	PLAN_PAUSE_RATIO,
	WATCH_RETRY_MAX_MS,
	WATCH_RETRY_MIN_MS,
} from './constants.js';
import type {Term} from './election.js';
import type {LeaderState} from './leader-state.js';
import type {Planner} from './planner.js';
import type {StartGuard} from './start-guard.js';
import type {Waker} from './waker.js';
import type {WorkerFleet} from './worker-fleet.js';

export type PlanLoopOptions = Readonly<{
	term: Term;
	state: LeaderState;
	fleet: WorkerFleet;
	planner: Planner;
	guard: StartGuard;
	/** Woken when the next pass may find something to do. */
	waker: Waker;
	log: Log;
	now: () => number;
	signal: AbortSignal;
}>;

/**
Stores a stale roster and runs planning passes, each time that the waker is woken and at intervals, until the signal aborts.

@example
```ts
lifecycle.run('plan', async (signal) => runPlanLoop({term, state, fleet, planner, guard, waker, log, now, signal}));
```
*/
export const runPlanLoop = async (options: PlanLoopOptions): Promise<void> => {
	const {term, state, fleet, planner, guard, waker, log, now, signal} = options;
	const rosterBackoff = createBackoff({minMs: WATCH_RETRY_MIN_MS, maxMs: WATCH_RETRY_MAX_MS});
	let rosterDueMs = 0;

	/** Stores a stale roster, with backoff after a failure. Returns the time until the next attempt. */
	const updateRoster = async (): Promise<number> => {
		if (fleet.isRosterStale() && now() >= rosterDueMs) {
			try {
				await fleet.storeRoster();
				rosterBackoff.reset();
			} catch (error) {
				log.warn('roster-not-stored', {error: toServiceError(error, 'may-have-run').message});
				rosterDueMs = now() + rosterBackoff.next();
			}
		}

		return fleet.isRosterStale() ? Math.max(0, rosterDueMs - now()) : Number.POSITIVE_INFINITY;
	};

	while (!signal.aborted) {
		const untilRosterMs = await updateRoster();
		const startedMs = performance.now();
		let nextDueMs = Number.POSITIVE_INFINITY;
		if (term.isValid()) {
			fleet.reopen();
			guard.update();
			nextDueMs = planner.pass(!guard.isPaused());
		}

		const passEndMs = performance.now();
		const limitMs = state.activeJobs.size > 0 ? PLAN_INTERVAL_MS : IDLE_PLAN_INTERVAL_MS;
		const untilDueMs = Math.max(PLAN_DELAY_MS, nextDueMs - Date.now());
		await waker.wait(signal, Math.min(limitMs, untilDueMs, untilRosterMs));
		// Changes are batched into one pass, and the pause grows with its duration so that orders and reports get processor time.
		const pauseAfterMs = Math.min(MAX_PLAN_PAUSE_MS, (passEndMs - startedMs) * PLAN_PAUSE_RATIO);
		await sleep(Math.max(PLAN_DELAY_MS, pauseAfterMs), signal);
	}
};
