import type {Part, Placement} from './active-job.js';
import {GANG_PROGRESS_MS, RUNS_PER_TERM} from './constants.js';

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

/** Placements of the newest run of a part that are not being stopped. */
const newestPlacements = ({placements}: Part): readonly Placement[] => {
	const active = placements.filter(({phase}) => phase !== 'stopping');
	const newest = Math.max(...active.map(({run}) => run));
	return active.filter(({run}) => run === newest);
};

/** Whether the run has worked, which no member does before the last one has started. A run from a checkpoint has a percentage from its start on. */
const hasWorked = ({checkpoint}: Part, {percent, progressMs, startedMs}: Placement): boolean =>
	progressMs > startedMs || (percent > 0 && checkpoint === '');

/** Whether reports show that the run, which was taken over, has made no progress since. */
const isIdle = ({reportedMs, startedMs}: Placement): boolean => reportedMs - startedMs >= GANG_PROGRESS_MS;

/** What is known of a gang: whether all of its members run, or some of them wait for one that does not. */
export type GangState = 'whole' | 'incomplete' | 'undecided';

/**
Judges a part by its placements. With `mayRunElsewhere`, a member that is not placed may run on a worker that has not responded to this leader yet, so its absence proves nothing, but the progress of the others does.

@example
```ts
if (gangStateOf(part, isBlocked(activeJob, part)) === 'incomplete') {
	placements.stop(activeJob, part, 'gang-incomplete');
}
```
*/
export const gangStateOf = (part: Part, mayRunElsewhere: boolean): GangState => {
	const placed = newestPlacements(part);
	if (placed.length === 0 || placed.length === part.indexes.length || part.isDone) {
		return 'whole';
	}

	if (!mayRunElsewhere) {
		return 'incomplete';
	}

	if (placed.some((placement) => hasWorked(part, placement))) {
		return 'whole';
	}

	return placed.some((placement) => isIdle(placement)) ? 'incomplete' : 'undecided';
};
