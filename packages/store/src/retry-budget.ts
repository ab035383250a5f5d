import {RETRY_BUDGET_BURST, RETRY_BUDGET_RATIO} from './constants.js';

/** Limits retries to a fraction of the calls, so that retries do not multiply the load on a slow store. */
export type RetryBudget = Readonly<{
	/** Credits the budget for a first attempt. */
	deposit: () => void;
	/** Withdraws one retry; false when the budget is exhausted. */
	tryWithdraw: () => boolean;
}>;

/**
Creates a full retry budget.

@example
```ts
budget.deposit();
if (budget.tryWithdraw()) await retry();
```
*/
export const createRetryBudget = (): RetryBudget => {
	let tokens = RETRY_BUDGET_BURST;
	return {
		deposit() {
			tokens = Math.min(RETRY_BUDGET_BURST, tokens + RETRY_BUDGET_RATIO);
		},
		tryWithdraw() {
			if (tokens < 1) {
				return false;
			}

			tokens -= 1;
			return true;
		},
	};
};
