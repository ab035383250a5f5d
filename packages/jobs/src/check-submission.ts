import {Buffer} from 'node:buffer';
import {ServiceError} from '@bergamotgauge/model';
import {MAX_SPEC_BYTES, MAX_STEPS_PER_JOB, MAX_UNITS_PER_JOB} from './constants.js';
import type {Step, Submission} from './types.js';

const refuse = (message: string): never => {
	throw new ServiceError(message, {code: 'bad-request', verdict: 'not-run'});
};

const checkDependencies = (steps: readonly Step[]) => {
	for (const [index, {after}] of steps.entries()) {
		const invalidDependency = after.find((earlier) => earlier < 0 || earlier >= index);
		if (invalidDependency !== undefined) {
			refuse(`step ${index} waits for step ${invalidDependency}, which is not an earlier step`);
		}
	}
};

/** Whether a job can have this id. */
export const isJobId = (id: string): boolean => /^[\da-f]{16}$/v.test(id);

/**
Checks that a submission is well formed. The scheduler decides whether any worker can run it.

@example
```ts
checkSubmission({id: '5c0e7a21d94b36f8', spec: '', steps: [step], schedule: undefined});
```

@throws {ServiceError} `bad-request`, with the fault.
*/
export const checkSubmission = ({id, spec, steps, schedule}: Submission): void => {
	if (!isJobId(id)) {
		refuse('a job id has 16 hexadecimal digits');
	}

	if (Buffer.byteLength(spec) > MAX_SPEC_BYTES) {
		refuse(`spec has more than ${MAX_SPEC_BYTES} bytes`);
	}

	if (steps.length === 0 || steps.length > MAX_STEPS_PER_JOB) {
		refuse(`a job has 1 to ${MAX_STEPS_PER_JOB} steps`);
	}

	const units = steps.reduce((sum, {count}) => sum + count, 0) * Math.max(1, schedule?.repeats ?? 1);
	if (units > MAX_UNITS_PER_JOB) {
		refuse(`a job has at most ${MAX_UNITS_PER_JOB} units in all its occurrences`);
	}

	if (schedule && schedule.intervalMs < 0) {
		refuse('the interval between two occurrences is not negative');
	}

	checkDependencies(steps);
};
