import type {SubmissionCheck} from '../types.js';

export const jobClassCheck: SubmissionCheck = {
	name: 'job-class',
	check: (bundle, _customer, job) =>
		bundle.jobClasses.some(({name}) => name === job.jobClass) ? undefined : `job class ${job.jobClass} is not declared`,
};
