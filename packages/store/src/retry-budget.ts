import {RETRY_BUDGET_MAX, RETRY_BUDGET_SHARE} from './constants.js';

/** Limits retries to a share of the calls, so that retries do not multiply the load on a slow store. */
export type RetryBudget = Readonly<{
	/** Adds the share of one first attempt. */
	deposit: () => void;
	/** Takes one retry; false when the budget is exhausted. */
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
