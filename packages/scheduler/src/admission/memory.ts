import type {Submission} from '@bergamotgauge/jobs';
import {
	BACKLOG_MEMORY_SHARE,
	JOB_BYTES,
	MEMORY_RETRY_MAX_MS,
	MEMORY_RETRY_MIN_MS,
	MIN_BACKLOG_BYTES,
	OWN_SHARE,
	PROCESS_OVERHEAD_BYTES,
	STEP_BYTES,
	UNIT_BYTES,
} from './constants.js';
import type {AdmissionCheck} from './types.js';

const BYTES_PER_MB = 1024 * 1024;

/**
Memory that a leader may need for an accepted job until it ends, in bytes.

@example
```ts
memoryNeedOf({id, spec: '', steps: [step], schedule: undefined});
```
*/
export const memoryNeedOf = ({spec, steps, schedule}: Submission): number => {
	const units = steps.reduce((sum, {count}) => sum + count, 0) * Math.max(1, schedule?.repeats ?? 1);
	return JOB_BYTES + spec.length + steps.length * STEP_BYTES + units * UNIT_BYTES;
};

/**
Memory that accepted jobs may take on an instance, in bytes.

@example
```ts
memoryLimitBytes({memoryMb: 210, heapBytes: getHeapStatistics().heap_size_limit});
```
*/
export const memoryLimitBytes = ({
	memoryMb,
	heapBytes,
}: Readonly<{memoryMb: number | undefined; heapBytes: number}>): number => {
	const machineBytes = memoryMb === undefined ? Number.POSITIVE_INFINITY : memoryMb * BYTES_PER_MB;
	return Math.max(MIN_BACKLOG_BYTES, BACKLOG_MEMORY_SHARE * Math.min(heapBytes, machineBytes - PROCESS_OVERHEAD_BYTES));
};

/** Answers many large jobs within a short time: all that is accepted has to fit into the memory of any leader. */
export const checkMemory: AdmissionCheck = ({job, backlog, ownBytes, limitBytes, random}) => {
	const limit = Math.min(limitBytes, backlog?.limitBytes ?? Number.POSITIVE_INFINITY);
	const remaining = limit - (backlog?.bytes ?? 0);
	const needed = ownBytes + memoryNeedOf(job);
	if (needed <= remaining * (ownBytes > 0 ? OWN_SHARE : 1)) {
		return undefined;
	}

	return {
		reason: 'memory',
		message: 'too many units of accepted jobs are waiting',
		code: 'overloaded',
		retryAfterMs: MEMORY_RETRY_MIN_MS + random * (MEMORY_RETRY_MAX_MS - MEMORY_RETRY_MIN_MS),
	};
};
