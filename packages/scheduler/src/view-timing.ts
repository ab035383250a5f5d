import {RESPONSE_JITTER_MS, SLOW_RESPONSE_MS, WATCH_WAIT_MS} from './constants.js';

/** What the next call of the watch on a view has to fit into, in milliseconds. */
export type ViewBudget = Readonly<{
	/** Age that the view should stay below. */
	maxAgeMs: number;
	/** Present age of the view. */
	ageMs: number;
	/** Time that the store took for the last response, beyond the wait that was asked for. */
	responseMs: number;
}>;

/** Time that is left until the next response has to be under way. */
const spareMs = ({maxAgeMs, ageMs, responseMs}: ViewBudget): number =>
	Math.max(0, maxAgeMs - ageMs - Math.max(SLOW_RESPONSE_MS, responseMs + RESPONSE_JITTER_MS));

/**
Long-poll timeout of the next watch on a view; 0 for an outdated view. The age counts from the begin of a call, so two waits pass before a response renews it.

@example
```ts
viewWaitMs({maxAgeMs: 2400, ageMs: 810, responseMs: 4}); // 800
```
*/
export const viewWaitMs = (budget: ViewBudget): number => Math.min(WATCH_WAIT_MS, budget.maxAgeMs / 3, spareMs(budget));

/** Pause before the next watch after changes, which batches those that follow. */
export const viewPauseMs = (budget: ViewBudget, longestMs: number): number => Math.min(longestMs, spareMs(budget) / 2);
