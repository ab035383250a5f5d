import {MAX_GANG_ACCELERATORS} from '@bergamotgauge/model';
import type {SubmissionCheck} from '../types.js';

export const gangSizeCheck: SubmissionCheck = {
	name: 'gang-size',
	check(_bundle, _customer, job) {
		if (!Number.isInteger(job.accelerators) || job.accelerators < 1) {
			return `${job.accelerators} is not a whole number of accelerators above 0`;
		}

		return job.accelerators > MAX_GANG_ACCELERATORS
			? `${job.accelerators} accelerators exceed the largest gang of ${MAX_GANG_ACCELERATORS}`
			: undefined;
	},
};
