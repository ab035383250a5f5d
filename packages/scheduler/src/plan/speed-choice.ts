import {MAX_SPEED_WAIT_MS} from '../speed/constants.js';
import type {PlanPart, PlanWorker} from './types.js';

/**
Pattern: a fleet whose workers differ in speed for good, under urgent jobs with little time to spare. One unit on a slow worker makes an urgent job late, and the slowest member decides for a gang; work with time to spare loses nothing there.
*/

/** Weight of the run time in the cost of a placement, the same as that of remote data. */
const RUN_TIME_COST = 10;

/** Weight of leaving fast workers to others; above that of a full worker, which is at most 1, and below that of the run time. */
const YIELD_COST = 3;

/** Whether the part runs on its own and meets its objective on the worker, so that it can leave faster ones to other work. */
const mayYield = ({members, priority, maxRunFactor}: PlanPart, runFactor: number): boolean =>
	members === 1 && priority > 0 && maxRunFactor < Number.POSITIVE_INFINITY && runFactor <= maxRunFactor;

/**
Cost of the worker's speed for the part; lower is better, and 0 on a typical worker. Urgent work, gangs and late work prefer fast workers; other work prefers slow ones on which it still meets its objective. Long-running work has no end that a faster worker would bring nearer.

@example
```ts
speedCostOf(urgentPart, slowWorker, 1); // 8.2 on a worker that takes 1.82 times as long
```
*/
export const speedCostOf = (part: PlanPart, {runFactor}: PlanWorker, remoteFactor: number): number => {
	if (part.isLongRunning) {
		return 0;
	}

	return mayYield(part, runFactor * remoteFactor)
		? YIELD_COST * (1 / runFactor - 1)
		: RUN_TIME_COST * remoteFactor * (runFactor - 1);
};

/**
Largest run-time factor of a worker with which a part meets its objective, by the time that it can still wait; infinite for a part that misses it on a typical worker too.
*/
export const maxRunFactorOf = (estimateMs: number, objectiveSlackMs: number): number =>
	objectiveSlackMs < 0 ? Number.POSITIVE_INFINITY : 1 + objectiveSlackMs / Math.max(1, estimateMs);

/** A guarantee leaves less time, since accelerators have to be reclaimed after the wait. */
const maxWaitMs = ({isGuaranteed}: PlanPart): number => (isGuaranteed ? MAX_SPEED_WAIT_MS / 2 : MAX_SPEED_WAIT_MS);

/** Whether the part still waits for workers on which its job meets its objective. */
export const hasSpeedWait = (part: PlanPart): boolean => part.priority === 0 && part.waitedMs < maxWaitMs(part);

/** Whether an urgent part waits for a faster worker for a while, because its job would miss its objective on this one. */
export const isTooSlow = (part: PlanPart, {runFactor}: PlanWorker): boolean =>
	hasSpeedWait(part) && runFactor > 1 && runFactor > part.maxRunFactor;

/** The part without its wait for a faster worker. */
export const withoutSpeedWait = (part: PlanPart): PlanPart => ({...part, maxRunFactor: Number.POSITIVE_INFINITY});
