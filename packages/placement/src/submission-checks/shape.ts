import {adjacentRuns} from '../candidates.js';
import {eligibleWorker} from '../eligibility.js';
import type {SubmissionCheck} from '../types.js';

export const shapeCheck: SubmissionCheck = {
	name: 'shape',
	check(bundle, customer, job) {
		const isEligible = eligibleWorker(bundle, {...job, customer});
		if (!bundle.racks.some((rack) => rack.workers.some((worker) => isEligible(worker)))) {
			return 'no declared worker matches its selector, the placement rules and its size';
		}

		return bundle.racks.some((rack) => adjacentRuns(rack, job.accelerators, isEligible).length > 0)
			? undefined
			: `no rack has ${job.accelerators} adjacent accelerators on matching workers`;
	},
};
