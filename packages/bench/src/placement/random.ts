import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

export type Random = Readonly<{
	/** From 0 up to, but without, 1. */
	next: () => number;
	between: (low: number, high: number) => number;
	/** Logarithmically uniform. */
	logBetween: (low: number, high: number) => number;
	/** Exponentially distributed with the given mean. */
	exponential: (mean: number) => number;
	/** One of the values by weight. */
	pick: <Value>(weighted: ReadonlyArray<readonly [Value, number]>) => Value;
}>;

/** Random numbers that depend on the seed alone. */
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	const next = () => unsafeUniformIntDistribution(0, 2 ** 31 - 1, generator) / 2 ** 31;
	return {
		next,
		between: (low, high) => low + next() * (high - low),
		logBetween: (low, high) => low * (high / low) ** next(),
		exponential: (mean) => -mean * Math.log(1 - next()),
		pick(weighted) {
			let rest = next() * weighted.reduce((sum, [, weight]) => sum + weight, 0);
			for (const [value, weight] of weighted) {
				rest -= weight;
				if (rest < 0) {
					return value;
				}
			}

			return weighted.at(-1)![0];
		},
	};
};
