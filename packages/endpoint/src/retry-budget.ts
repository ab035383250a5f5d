import {RETRY_BUDGET_BURST, RETRY_BUDGET_RATIO} from './constants.js';

/** Limits retries to a fraction of the traffic, so that retries do not multiply the load on failing endpoints. */
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
const budget = createRetryBudget();
budget.deposit();
if (budget.tryWithdraw()) { retry(); }
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
