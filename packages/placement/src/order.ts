import {MIN_ORDER_SECONDS} from './constants.js';
import type {WaitingJob} from './types.js';

const URGENCY_FACTOR = {urgent: 1_000_000, normal: 1.5, batch: 1} as const;

/**
Ranks a waiting job by its response ratio (waiting and run time over run time), its urgency and the customer's fair share. Urgent jobs rank above all others; the ratio of every other job grows while it waits, so none starves.

@example
```ts
queue.toSorted((a, b) => responseRatioOrder(b, nowMs) - responseRatioOrder(a, nowMs));
```
*/
export const responseRatioOrder = (
	{job, jobClass, customer, estimate, heldAccelerators}: WaitingJob,
	nowMs: number,
) => {
	const seconds = Math.max(MIN_ORDER_SECONDS, estimate.expectedSeconds);
	const waited = Math.max(0, nowMs - job.submittedAtMs) / 1000 - job.ranSeconds;
	const ratio = 1 + Math.max(0, waited) / seconds;
	const used = heldAccelerators / Math.max(1, customer.quota.accelerators) / Math.max(0.01, customer.weight);
	return (ratio * URGENCY_FACTOR[jobClass.urgency]) / (1 + used);
};
