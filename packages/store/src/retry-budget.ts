import {RETRY_BUDGET_MAX, RETRY_BUDGET_SHARE} from './constants.js';

/** Bounds retries to a share of the calls, so that a slow store does not get a multiple of the load. */
export type RetryBudget = Readonly<{
	/** Counts a first call. */
	deposit: () => void;
	/** Takes one retry; false when the budget is used up. */
	withdraw: () => boolean;
}>;

/**
Creates a full retry budget.

@example
```ts
budget.deposit();
if (budget.withdraw()) await retry();
```
*/
export const createRetryBudget = (): RetryBudget => {
	let tokens = RETRY_BUDGET_MAX;
	return {
		deposit() {
			tokens = Math.min(RETRY_BUDGET_MAX, tokens + RETRY_BUDGET_SHARE);
		},
		withdraw() {
			if (tokens < 1) {
				return false;
			}

			tokens -= 1;
			return true;
		},
	};
};
