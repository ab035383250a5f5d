import {ServiceError, type Bundle, type JobSpecification} from '@bergamotgauge/model';
import {SUBMISSION_CHECKS} from './submission-checks/index.js';

/**
Refuses a job that can never run on the declared capacity.

@example
```ts
checkSubmission(bundle, 'acme', specification);
```

@throws {ServiceError} `impossible`, with the reason.
*/
export const checkSubmission = (bundle: Bundle, customerName: string, job: JobSpecification): void => {
	for (const {check} of SUBMISSION_CHECKS) {
		const reason = check(bundle, customerName, job);
		if (reason !== undefined) {
			throw new ServiceError(`the job can never run: ${reason}`, {code: 'impossible', verdict: 'not-run'});
		}
	}
};
