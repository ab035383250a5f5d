import {LRUCache} from 'lru-cache';
import {
	EFFECT_HALF_LIFE_MS,
	EFFECT_PRIOR_VARIANCE,
	MAX_COUNTED_EFFECT,
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

/** Slow-downs in logarithms, by kind and neighbour. */
export type HarmfulEffects = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** How kinds of work slow each other down on one worker, learned from their runs. */
export type Interference = Readonly<{
	observe: (run: SharedRun) => void;
	/** Slow-downs that are not chance, in logarithms, by kind and neighbour. */
	harmfulEffects: (nowMs: number) => HarmfulEffects;
	/** Number of runs that the effect was learned from. */
	runsOf: (kind: string, neighbour: string) => number;
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

/** One run alone shows nothing, since it may have been slow for another reason. */
const isHarmful = ({mean, variance, runs}: Effect): boolean =>
	runs > 1 && mean > SIGNIFICANT_DEVIATIONS * Math.sqrt(variance);

/** Slow-down of a run in logarithms. A run that hangs shows no more than one that takes twice as long. */
const observedEffect = (slowdown: number): number =>
	Math.min(MAX_COUNTED_EFFECT, Math.max(-MAX_COUNTED_EFFECT, Math.log(slowdown)));

const pairKey = (kind: string, neighbour: string): string => JSON.stringify([kind, neighbour]);

/**
Creates the estimator. What a run is slower than the same work elsewhere is attributed to all kinds of work beside it, to each by how little is known of it; a kind that is also present beside runs that are not slowed down loses its share again.

@example
```ts
const interference = createInterference();
interference.observe({kind: 'render', neighbours: ['index'], slowdown: 1.6, nowMs: now()});
interference.harmfulEffects(now()).get('render')?.get('index'); // undefined after one run, about 0.4 after several
```
*/
export const createInterference = (): Interference => {
	const effects = new LRUCache<string, Effect>({max: MAX_PAIRS});

	const effectOf = (kind: string, neighbour: string, nowMs: number): Effect => {
		// Reads do not keep a pair alive; only runs do.
		const known = effects.peek(pairKey(kind, neighbour));
		return known ? fade(known, nowMs) : {mean: 0, variance: EFFECT_PRIOR_VARIANCE, runs: 0, atMs: nowMs};
	};

	const harmfulEffects = (nowMs: number): HarmfulEffects => {
		const harmful = new Map<string, Map<string, number>>();
		for (const [key, effect] of effects.entries()) {
			const faded = fade(effect, nowMs);
			if (isHarmful(faded)) {
				const [kind, neighbour] = JSON.parse(key) as [string, string];
				const byNeighbour = harmful.get(kind) ?? new Map<string, number>();
				harmful.set(kind, byNeighbour.set(neighbour, faded.mean));
			}
		}

		return harmful;
	};

	return {
		observe({kind, neighbours, slowdown, nowMs}) {
			const kinds = [...new Set(neighbours)];
			const isMeasured = slowdown > 0 && Number.isFinite(slowdown);
			if (!isMeasured || kinds.length === 0 || kinds.length > MAX_NEIGHBOUR_KINDS) {
				return;
			}

			const known = kinds.map((neighbour) => effectOf(kind, neighbour, nowMs));
			const expected = known.reduce((sum, {mean}) => sum + mean, 0);
			const variance = known.reduce((sum, effect) => sum + effect.variance, RUN_VARIANCE);
			const surprise = observedEffect(slowdown) - expected;
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
		harmfulEffects,
		runsOf: (kind, neighbour) => effects.peek(pairKey(kind, neighbour))?.runs ?? 0,
		countPairs: (nowMs) => ({
			known: effects.size,
			harmful: [...harmfulEffects(nowMs).values()].reduce((sum, {size}) => sum + size, 0),
		}),
	};
};
