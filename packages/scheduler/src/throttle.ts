import {
	INITIAL_THROTTLE_PERCENT,
	THROTTLE_DOWN_RATIO,
	THROTTLE_STEP_PERCENT,
	THROTTLE_INTERVAL_MS,
	THROTTLE_UP_RATIO,
} from './throttle-constants.js';

/** CPU throttle of the best-effort units on one worker. */
export type ThrottleState = Readonly<{
	/** CPU share of the best-effort units, in percent; 100 is not throttled, 0 is suspended. */
	percent: number;
	changedMs: number;
	/** Time since which a latency-sensitive unit has been over its target; `undefined` while none is. */
	overSinceMs: number | undefined;
}>;

export type ThrottleInput = Readonly<{
	/** Largest ratio of a response time to its target among the latency-sensitive units. */
	latencyRatio: number;
	nowMs: number;
	/** Time over the target after which the best-effort units are suspended. */
	suspendAfterMs: number;
}>;

/** Throttle of a worker that has just begun to run units of both kinds. */
export const initialThrottle = (nowMs: number): ThrottleState => ({
	percent: INITIAL_THROTTLE_PERCENT,
	changedMs: nowMs,
	overSinceMs: undefined,
});

/**
Next throttle, by multiplicative decrease and additive increase: the CPU share is halved over the target, set to 0 when that does not help in time, and raised slowly well below the target.

The interference between units depends on what they run and changes within seconds, so only the measured response times drive the throttle.

@example
```ts
throttle = nextThrottle(throttle, {latencyRatio: 180 / 150, nowMs, suspendAfterMs: 1000}); // half of the CPU share
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

	// A change shows in the measured response times only after a while.
	if (nowMs - throttle.changedMs < THROTTLE_INTERVAL_MS) {
		return {...throttle, overSinceMs};
	}

	const percent = isOver
		? Math.floor(throttle.percent / 2)
		: Math.min(100, throttle.percent + (latencyRatio < THROTTLE_UP_RATIO ? THROTTLE_STEP_PERCENT : 0));
	return percent === throttle.percent ? {...throttle, overSinceMs} : {percent, changedMs: nowMs, overSinceMs};
};
