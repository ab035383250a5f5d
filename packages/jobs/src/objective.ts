import type {Job, Step} from './types.js';

const chainFrom = (steps: readonly Step[], index: number, known: Map<number, number>): number => {
	const cached = known.get(index);
	if (cached !== undefined) {
		return cached;
	}

	const step = steps[index];
	const before = (step?.after ?? []).map((earlier) => chainFrom(steps, earlier, known));
	const length = (step?.estimateMs ?? 0) + Math.max(0, ...before);
	known.set(index, length);
	return length;
};

/** Estimated length of the longest chain of steps, in milliseconds. */
export const longestChainMs = (steps: readonly Step[]): number => {
	const known = new Map<number, number>();
	return Math.max(0, ...steps.map((_step, index) => chainFrom(steps, index, known)));
};

/**
Time within which the job should complete, counted from its acceptance.

@example
```ts
objectiveMs({...job, stretch: 3, targetLatencyMs: 1000}); // 3 x the longest chain + 1000
```
*/
export const objectiveMs = (job: Job): number => job.stretch * longestChainMs(job.steps) + job.targetLatencyMs;
