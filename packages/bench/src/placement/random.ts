import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

export type Random = Readonly<{
	/** Uniform in [0, 1). */
	next: () => number;
	/** Uniform. */
	between: (low: number, high: number) => number;
	/** Log-uniform. */
	logBetween: (low: number, high: number) => number;
	/** Exponentially distributed with the given mean. */
	exponential: (mean: number) => number;
	/** Weighted random choice. */
	pick: <Value>(weighted: ReadonlyArray<readonly [Value, number]>) => Value;
}>;

/** Creates a deterministic generator; its sequence depends only on the seed. */
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	const next = () => unsafeUniformIntDistribution(0, 2 ** 31 - 1, generator) / 2 ** 31;
	return {
		next,
		between: (low, high) => low + next() * (high - low),
		logBetween: (low, high) => low * (high / low) ** next(),
		exponential: (mean) => -mean * Math.log(1 - next()),
		pick(weighted) {
			let remainingWeight = next() * weighted.reduce((sum, [, weight]) => sum + weight, 0);
			for (const [value, weight] of weighted) {
				remainingWeight -= weight;
				if (remainingWeight < 0) {
					return value;
				}
			}

			return weighted.at(-1)![0];
		},
	};
};
