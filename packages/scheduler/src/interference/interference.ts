import {LRUCache} from 'lru-cache';
import {
	EFFECT_HALF_LIFE_MS,
	EFFECT_PRIOR_VARIANCE,
	MAX_NEIGHBOUR_KINDS,
	MAX_PAIRS,
	RUN_VARIANCE,
	SIGNIFICANT_DEVIATIONS,
} from './constants.js';

/** A run beside other work. */
export type SharedRun = Readonly<{
	kind: string;
	/** Kinds of the other work on its worker. */
	neighbours: readonly string[];
	/** Run time relative to the same work elsewhere, without the permanent speed of the worker. */
	slowdown: number;
	nowMs: number;
}>;

/** Effect of a neighbour on a kind of work: mean and variance of the logarithm of the slow-down, as of a time. */
export type Effect = Readonly<{mean: number; variance: number; runs: number; atMs: number}>;

/** How kinds of work slow each other down on one worker, learned from their runs. */
export type Interference = Readonly<{
	observe: (run: SharedRun) => void;
	/** Slow-down of the kind by the neighbour, in logarithms; 0 while it may be chance. */
	effectOn: (kind: string, neighbour: string, nowMs: number) => number;
	/** Number of runs that the effect was learned from. */
	runsOf: (kind: string, neighbour: string) => number;
	/** Whether any kind is slowed down, so that placement has something to decide. */
	hasHarm: (nowMs: number) => boolean;
	/** Numbers of known and of harmful pairs. */
	countPairs: (nowMs: number) => Readonly<{known: number; harmful: number}>;
}>;

/** The estimate as of now: it fades towards none and becomes less certain. */
const fade = ({mean, variance, runs, atMs}: Effect, nowMs: number): Effect => {
	const rest = 0.5 ** (Math.max(0, nowMs - atMs) / EFFECT_HALF_LIFE_MS);
	return {
		mean: mean * rest,
		variance: EFFECT_PRIOR_VARIANCE - (EFFECT_PRIOR_VARIANCE - variance) * rest,
		runs,
		atMs: nowMs,
	};
};

const isHarmful = ({mean, variance}: Effect): boolean => mean > SIGNIFICANT_DEVIATIONS * Math.sqrt(variance);

const pairKey = (kind: string, neighbour: string): string => JSON.stringify([kind, neighbour]);

/**
Creates the estimator. What a run is slower than the same work elsewhere is attributed to all kinds of work beside it, to each by how little is known of it; a kind that is also present beside runs that are not slowed down loses its share again.

@example
```ts
const interference = createInterference();
interference.observe({kind: 'render', neighbours: ['index'], slowdown: 1.6, nowMs: now()});
interference.effectOn('render', 'index', now()); // 0 after one run, about 0.4 after several
```
*/
export const createInterference = (): Interference => {
	const effects = new LRUCache<string, Effect>({max: MAX_PAIRS});

	const effectOf = (kind: string, neighbour: string, nowMs: number): Effect => {
		// Reads do not keep a pair alive; only runs do.
		const known = effects.peek(pairKey(kind, neighbour));
		return known ? fade(known, nowMs) : {mean: 0, variance: EFFECT_PRIOR_VARIANCE, runs: 0, atMs: nowMs};
	};

	const countHarmful = (nowMs: number): number => {
		let count = 0;
		for (const effect of effects.values()) {
			count += isHarmful(fade(effect, nowMs)) ? 1 : 0;
		}

		return count;
	};

	return {
		observe({kind, neighbours, slowdown, nowMs}) {
			const kinds = [...new Set(neighbours)];
			if (kinds.length === 0 || kinds.length > MAX_NEIGHBOUR_KINDS) {
				return;
			}

			const known = kinds.map((neighbour) => effectOf(kind, neighbour, nowMs));
			const expected = known.reduce((sum, {mean}) => sum + mean, 0);
			const variance = known.reduce((sum, effect) => sum + effect.variance, RUN_VARIANCE);
			const surprise = Math.log(slowdown) - expected;
			for (const [index, neighbour] of kinds.entries()) {
				const effect = known[index]!;
				const gain = effect.variance / variance;
				effects.set(pairKey(kind, neighbour), {
					mean: effect.mean + gain * surprise,
					variance: (1 - gain) * effect.variance,
					runs: effect.runs + 1,
					atMs: nowMs,
				});
			}
		},
		effectOn(kind, neighbour, nowMs) {
			const effect = effectOf(kind, neighbour, nowMs);
			return isHarmful(effect) ? effect.mean : 0;
		},
		runsOf: (kind, neighbour) => effects.peek(pairKey(kind, neighbour))?.runs ?? 0,
		hasHarm: (nowMs) => countHarmful(nowMs) > 0,
		countPairs: (nowMs) => ({known: effects.size, harmful: countHarmful(nowMs)}),
	};
};
