import type {JobRun, Part} from './job-run.js';
import type {LeaderState} from './leader-state.js';

/** Whether all units of the part are at work; a unit without end is so from 100 percent on. */
const isServing = (part: Part): boolean =>
	part.placements.length >= part.indexes.length &&
	part.placements.every(({phase, percent}) => phase === 'running' && percent >= 100);

/** Parts of one step that must go on: those at work for which the bound leaves no room. */
const protectedPartsOfStep = (parts: readonly Part[], maxAbsent: number): readonly Part[] => {
	const serving = parts.filter((part) => isServing(part));
	const units = (some: readonly Part[]): number => some.reduce((sum, {indexes}) => sum + indexes.length, 0);
	let budget = maxAbsent - (units(parts) - units(serving));
	return serving.filter(({indexes}) => {
		const isStoppable = indexes.length <= budget;
		budget -= isStoppable ? indexes.length : 0;
		return !isStoppable;
	});
};

const protectedPartsOfJob = (run: JobRun): readonly Part[] =>
	run.job.steps.flatMap(({longRunning, maxAbsent}, step) => {
		if (!longRunning || maxAbsent === undefined) {
			return [];
		}

		const parts = [...run.parts.values()].filter((part) => part.step === step);
		const occurrences = [...new Set(parts.map(({occurrence}) => occurrence))];
		return occurrences.flatMap((occurrence) =>
			protectedPartsOfStep(
				parts.filter((part) => part.occurrence === occurrence),
				maxAbsent,
			),
		);
	});

/**
Parts that may not be stopped for the sake of other work or of their worker. A step without end may bound how many of its units are away at the same time; units that are away for any cause count, so stops are spread out.

@example
```ts
if (!protectedParts(state).has(part)) {
	placements.stop(run, part, 'upkeep');
}
```
*/
export const protectedParts = (state: LeaderState): ReadonlySet<Part> =>
	new Set(
		[...state.runs.values()]
			.filter(({isCancelled, outcome}) => !isCancelled && outcome === undefined)
			.flatMap((run) => protectedPartsOfJob(run)),
	);
