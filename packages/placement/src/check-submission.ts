import {MAX_GANG_ACCELERATORS, ServiceError, type Bundle, type JobSpecification} from '@bergamotgauge/model';
import {adjacentRuns} from './candidates.js';
import {eligibleWorker} from './eligibility.js';

const refuse = (reason: string): never => {
	throw new ServiceError(`the job can never run: ${reason}`, {code: 'impossible', verdict: 'not-run'});
};

/**
Refuses a job that can never run on the declared capacity.

@example
```ts
checkSubmission(bundle, 'acme', specification);
```

@throws {ServiceError} `impossible`, with the reason.
*/
export const checkSubmission = (bundle: Bundle, customerName: string, job: JobSpecification): void => {
	const customer = bundle.customers.find(({name}) => name === customerName);
	if (!customer) {
		return refuse(`customer ${customerName} is not declared`);
	}

	if (!bundle.jobClasses.some(({name}) => name === job.jobClass)) {
		return refuse(`job class ${job.jobClass} is not declared`);
	}

	if (job.accelerators > MAX_GANG_ACCELERATORS) {
		return refuse(`${job.accelerators} accelerators exceed the largest gang of ${MAX_GANG_ACCELERATORS}`);
	}

	if (job.accelerators > customer.quota.accelerators) {
		return refuse(
			`${job.accelerators} accelerators exceed the quota of ${customer.quota.accelerators} of customer ${customerName}`,
		);
	}

	const isEligible = eligibleWorker(bundle, {...job, customer: customerName});
	if (!bundle.racks.some((rack) => rack.workers.some((worker) => isEligible(worker)))) {
		return refuse('no declared worker matches its selector, the placement rules and its size');
	}

	if (!bundle.racks.some((rack) => adjacentRuns(rack, job.accelerators, isEligible).length > 0)) {
		return refuse(`no rack has ${job.accelerators} adjacent accelerators on matching workers`);
	}
};
