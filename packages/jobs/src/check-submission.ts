import {Buffer} from 'node:buffer';
import {ServiceError} from '@bergamotgauge/model';
import {MAX_SPEC_BYTES, MAX_STEPS_PER_JOB, MAX_UNITS_PER_JOB} from './constants.js';
import type {Step, Submission} from './types.js';

const refuse = (message: string): never => {
	throw new ServiceError(message, {code: 'bad-request', verdict: 'not-run'});
};

const checkOrder = (steps: readonly Step[]) => {
	for (const [index, {after}] of steps.entries()) {
		const wrong = after.find((earlier) => earlier < 0 || earlier >= index);
		if (wrong !== undefined) {
			refuse(`step ${index} waits for step ${wrong}, which is not an earlier step`);
		}
	}
};

/**
Checks that a submission is well formed. Whether a worker can run it is judged by the scheduler.

@example
```ts
checkSubmission({id: '5c0e7a21d94b36f8', spec: '', steps: [step], schedule: undefined});
```

@throws {ServiceError} `bad-request`, which names the fault.
*/
export const checkSubmission = ({id, spec, steps}: Submission): void => {
	if (!/^[\da-f]{16}$/v.test(id)) {
		refuse('a job id has 16 hexadecimal digits');
	}

	if (Buffer.byteLength(spec) > MAX_SPEC_BYTES) {
		refuse(`spec has more than ${MAX_SPEC_BYTES} bytes`);
	}

	if (steps.length === 0 || steps.length > MAX_STEPS_PER_JOB) {
		refuse(`a job has 1 to ${MAX_STEPS_PER_JOB} steps`);
	}

	const units = steps.reduce((sum, {count}) => sum + count, 0);
	if (units > MAX_UNITS_PER_JOB) {
		refuse(`a job has at most ${MAX_UNITS_PER_JOB} units`);
	}

	checkOrder(steps);
};
