import type {Part} from './active-job.js';
import {RUNS_PER_TERM} from './constants.js';

/** Number of the term whose leader ordered the run. */
export const termOfRun = (run: number): number => Math.ceil(run / RUNS_PER_TERM);

/** What a leader knows of the members of a gang's run. */
export type GangDescription = Readonly<{
	/** Term whose leader ordered the run. */
	runTerm: number;
	members: number;
	/** Members that are placed, and those of them that their workers have accepted or are being stopped. */
	placed: number;
	accepted: number;
	stopping: number;
}>;

/**
Describes the run of a gang for the log.

@example
```ts
log.warn('gang-alone', {unit, run, ...describeGang(part, run)});
```
*/
export const describeGang = (part: Part, run: number): GangDescription => {
	const placements = part.placements.filter((placement) => placement.run === run);
	return {
		runTerm: termOfRun(run),
		members: part.indexes.length,
		placed: placements.length,
		accepted: placements.filter(({acceptedMs}) => acceptedMs !== undefined).length,
		stopping: placements.filter(({phase}) => phase === 'stopping').length,
	};
};

/**
Time in milliseconds between the first and the last acceptance of the starts of a gang; `undefined` for a single unit, or while a start has no response.

@example
```ts
startSpreadMs(part); // 3
```
*/
export const startSpreadMs = ({indexes, placements}: Part): number | undefined => {
	const times = placements
		.filter(({phase}) => phase === 'running')
		.map(({acceptedMs}) => acceptedMs)
		.filter((atMs) => atMs !== undefined);
	return indexes.length > 1 && times.length === indexes.length ? Math.max(...times) - Math.min(...times) : undefined;
};
