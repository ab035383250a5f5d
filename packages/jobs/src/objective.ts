import type {Job, Step} from './types.js';

const longestChainTo = (steps: readonly Step[], index: number, lengths: Map<number, number>): number => {
	const cached = lengths.get(index);
	if (cached !== undefined) {
		return cached;
	}

	const step = steps[index];
	const before = (step?.after ?? []).map((earlier) => longestChainTo(steps, earlier, lengths));
	const length = (step?.estimateMs ?? 0) + Math.max(0, ...before);
	lengths.set(index, length);
	return length;
};

/** Critical path: the estimated duration of the longest chain of dependent steps, in milliseconds. */
export const longestChainMs = (steps: readonly Step[]): number => {
	const lengths = new Map<number, number>();
	return Math.max(0, ...steps.map((_step, index) => longestChainTo(steps, index, lengths)));
};

/**
Time within which the job should complete, counted from its acceptance.

@example
```ts
objectiveMs({...job, stretch: 3, targetLatencyMs: 1000}); // 3 x the longest chain + 1000
```
*/
export const objectiveMs = (job: Job): number => job.stretch * longestChainMs(job.steps) + job.targetLatencyMs;
