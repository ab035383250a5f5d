import type {Score} from '../types.js';

/** Rewards runs that fill at least half of a block reserved for the job's customer. Smaller ones are penalized, because they would keep the guaranteed shape from its owner. */
const ownBlockScore = (share: number): number => (share >= 0.5 ? -4 * share : Math.sign(share) * 2);

/** Prefers the customer's own reserved block for work of about its size, and keeps work that can't checkpoint out of blocks reserved for other customers. */
export const borrowingScore: Score = {
	name: 'borrowing',
	weight: (weights) => 1 + 2 * weights.completionTime,
	score: (run) =>
		ownBlockScore(run.reservedBlockShare) +
		(run.borrowedAccelerators / run.accelerators) * (run.isCostlyToEvict ? 2 : 0.25),
};
