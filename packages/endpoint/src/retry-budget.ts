import {RETRY_BUDGET_BURST, RETRY_BUDGET_RATIO} from './constants.js';

/** Bounds retries to a fraction of the traffic, so that failing endpoints do not multiply their load. */
export type RetryBudget = Readonly<{
	/** Counts a first try. */
	earn: () => void;
	/** Takes one retry; false when none is left. */
	take: () => boolean;
}>;

/**
Creates a full retry budget.

@example
```ts
const budget = createRetryBudget();
budget.earn();
if (budget.take()) { retry(); }
```
*/
export const createRetryBudget = (): RetryBudget => {
	let left = RETRY_BUDGET_BURST;
	return {
		earn() {
			left = Math.min(RETRY_BUDGET_BURST, left + RETRY_BUDGET_RATIO);
		},
		take() {
			if (left < 1) {
				return false;
			}

			left -= 1;
			return true;
		},
	};
};
