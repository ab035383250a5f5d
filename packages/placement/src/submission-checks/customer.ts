import type {SubmissionCheck} from '../types.js';

export const customerCheck: SubmissionCheck = {
	name: 'customer',
	check: (bundle, customer) =>
		bundle.customers.some(({name}) => name === customer) ? undefined : `customer ${customer} is not declared`,
};
