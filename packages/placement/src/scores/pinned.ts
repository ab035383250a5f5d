import type {Score} from '../types.js';

/** Keeps work that can't move together, so that moves can clear the other workers. */
export const pinnedScore: Score = {
	name: 'pinned',
	weight: (weights) => 8 * weights.fragmentation,
	score: (run) => (run.isPinned === run.hasPinnedNeighbour ? 0 : 1),
};
