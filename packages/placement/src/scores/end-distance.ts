import type {Score} from '../types.js';

/** Places jobs that end at about the same time on one worker, so that the whole worker becomes free at once. */
export const endDistanceScore: Score = {
	name: 'end-distance',
	weight: (weights) => 0.3 + 0.6 * weights.fragmentation,
	score: (run) => Math.min(2, run.endDistanceSeconds / Math.max(600, run.expectedSeconds)),
};
