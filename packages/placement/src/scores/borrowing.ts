import type {Score} from '../types.js';

/** Small work in an own home would keep the guaranteed shape from its owner. */
const ownHomeScore = (share: number): number => (share >= 0.5 ? -4 * share : Math.sign(share) * 2);

/** Uses the customer's own home for work of its size and keeps work that can't checkpoint out of other homes. */
export const borrowingScore: Score = {
	name: 'borrowing',
	weight: (weights) => 1 + 2 * weights.completionTime,
	score: (run) =>
		ownHomeScore(run.ownHomeShare) + (run.borrowedAccelerators / run.accelerators) * (run.isCostlyToEvict ? 2 : 0.25),
};
