import type {Score} from '../types.js';

/** Keeps free blocks of the largest guaranteed shape intact. */
export const fragmentationScore: Score = {
	name: 'fragmentation',
	weight: (weights) => 1 + 4 * weights.fragmentation,
	score: (run) => run.fragmentedAccelerators + run.freeBlockAccelerators / 4 + run.remainingOnWorker / 8,
};
