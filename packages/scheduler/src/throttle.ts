import {
	INITIAL_THROTTLE_PERCENT,
	THROTTLE_DOWN_RATIO,
	THROTTLE_STEP_PERCENT,
	THROTTLE_INTERVAL_MS,
	THROTTLE_UP_RATIO,
} from './constants.js';

/** Pace of the units on one worker that use what others leave, and what it was decided from. */
export type ThrottleState = Readonly<{
	/** Share of their full speed, in percent. */
	percent: number;
	changedMs: number;
	/** Time since which a unit with users of its own has been over its target; `undefined` while none is. */
	overSinceMs: number | undefined;
}>;

export type ThrottleInput = Readonly<{
	/** Largest ratio of a response time to its target among the units with users of their own. */
	latencyRatio: number;
	nowMs: number;
	/** Time over the target after which the other units stand still. */
	suspendAfterMs: number;
}>;

/** Pace of a worker on which units of both kinds have just met. */
export const initialThrottle = (nowMs: number): ThrottleState => ({
	percent: INITIAL_THROTTLE_PERCENT,
	changedMs: nowMs,
	overSinceMs: undefined,
});

/**
Next pace: halves over the target, to nothing when that does not help in time, and rises slowly well below it.

How much the units disturb each other differs by what they run and changes within seconds, so only the response times themselves are a guide.

@example
```ts
pace = nextPace(pace, {load: 180 / 150, nowMs, patienceMs: 1000}); // half of the pace before
```
*/
export const nextThrottle = (
	throttle: ThrottleState,
	{latencyRatio, nowMs, suspendAfterMs}: ThrottleInput,
): ThrottleState => {
	const isOver = latencyRatio >= THROTTLE_DOWN_RATIO;
	const overSinceMs = isOver ? (throttle.overSinceMs ?? nowMs) : undefined;
	if (overSinceMs !== undefined && nowMs - overSinceMs >= suspendAfterMs) {
		return {percent: 0, changedMs: throttle.percent === 0 ? throttle.changedMs : nowMs, overSinceMs};
	}

	// An order shows in the figures only after a while.
	if (nowMs - throttle.changedMs < THROTTLE_INTERVAL_MS) {
		return {...throttle, overSinceMs};
	}

	const percent = isOver
		? Math.floor(throttle.percent / 2)
		: Math.min(100, throttle.percent + (latencyRatio < THROTTLE_UP_RATIO ? THROTTLE_STEP_PERCENT : 0));
	return percent === throttle.percent ? {...throttle, overSinceMs} : {percent, changedMs: nowMs, overSinceMs};
};
