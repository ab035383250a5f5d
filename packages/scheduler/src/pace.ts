import {FIRST_PACE, MAX_LOAD, PACE_STEP, PACE_STEP_MS, RAISE_LOAD} from './constants.js';

/** Pace of the units on one worker that use what others leave, and what it was decided from. */
export type Pace = Readonly<{
	/** Share of their full speed, in percent. */
	percent: number;
	changedMs: number;
	/** Time since which a unit with users of its own has been over its target; `undefined` while none is. */
	overSinceMs: number | undefined;
}>;

export type PaceInput = Readonly<{
	/** Largest ratio of a response time to its target among the units with users of their own. */
	load: number;
	nowMs: number;
	/** Time over the target after which the other units stand still. */
	patienceMs: number;
}>;

/** Pace of a worker on which units of both kinds have just met. */
export const firstPace = (nowMs: number): Pace => ({percent: FIRST_PACE, changedMs: nowMs, overSinceMs: undefined});

/**
Next pace: halves over the target, to nothing when that does not help in time, and rises slowly well below it.

How much the units disturb each other differs by what they run and changes within seconds, so only the response times themselves are a guide.

@example
```ts
pace = nextPace(pace, {load: 180 / 150, nowMs, patienceMs: 1000}); // half of the pace before
```
*/
export const nextPace = (pace: Pace, {load, nowMs, patienceMs}: PaceInput): Pace => {
	const isOver = load >= MAX_LOAD;
	const overSinceMs = isOver ? (pace.overSinceMs ?? nowMs) : undefined;
	if (overSinceMs !== undefined && nowMs - overSinceMs >= patienceMs) {
		return {percent: 0, changedMs: pace.percent === 0 ? pace.changedMs : nowMs, overSinceMs};
	}

	// An order shows in the figures only after a while.
	if (nowMs - pace.changedMs < PACE_STEP_MS) {
		return {...pace, overSinceMs};
	}

	const percent = isOver
		? Math.floor(pace.percent / 2)
		: Math.min(100, pace.percent + (load < RAISE_LOAD ? PACE_STEP : 0));
	return percent === pace.percent ? {...pace, overSinceMs} : {percent, changedMs: nowMs, overSinceMs};
};
