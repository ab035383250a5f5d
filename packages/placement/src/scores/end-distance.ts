import type {Score} from '../types.js';

/** Puts jobs that end at about the same time on one worker, so that the worker becomes free as a whole. */
export const endDistanceScore: Score = {
	name: 'end-distance',
	weight: (weights) => 0.3 + 0.6 * weights.fragmentation,
	score: (run) => Math.min(2, run.endDistanceSeconds / Math.max(600, run.expectedSeconds)),
};
