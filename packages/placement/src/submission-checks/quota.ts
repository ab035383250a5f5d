import type {SubmissionCheck} from '../types.js';

export const quotaCheck: SubmissionCheck = {
	name: 'quota',
	check(bundle, customerName, job) {
		const customer = bundle.customers.find(({name}) => name === customerName);
		return customer && job.accelerators > customer.quota.accelerators
			? `${job.accelerators} accelerators exceed the quota of ${customer.quota.accelerators} of customer ${customerName}`
			: undefined;
	},
};
