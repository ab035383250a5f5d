import type {Placement, TaskReport, TaskState} from '@bergamotgauge/model';

/** Combined state of all tasks of one attempt. */
export type GangState =
	/** At least one worker has no current report. */
	| 'unknown'
	/** No worker knows the attempt. */
	| 'absent'
	/** Some workers have prepared their task and the others do not know the attempt. */
	| 'preparing'
	| 'prepared'
	/** Some tasks have started, the others are prepared. */
	| 'starting'
	| 'running'
	/** A task that had started was stopped or lost. */
	| 'broken'
	| 'checkpointed'
	| 'failed'
	| 'succeeded';

/** The current report of a worker; undefined when there is none. */
export type ReportLookup = (worker: string) => readonly TaskReport[] | undefined;

const STARTED: ReadonlySet<TaskState | undefined> = new Set<TaskState>(['running', 'succeeded', 'checkpointed']);

/** Reports of the attempt's tasks, in the order of the placement's blocks. */
export const reportsOf = (placement: Placement, lookup: ReportLookup): ReadonlyArray<TaskReport | undefined> =>
	placement.blocks.map((block) =>
		lookup(block.worker)?.find(
			({job, attempt, token}) => job === placement.job && attempt === placement.attempt && token === placement.token,
		),
	);

const combineUnstarted = (states: ReadonlyArray<TaskState | undefined>): GangState => {
	if (states.every((state) => state === undefined)) {
		return 'absent';
	}

	return states.includes(undefined) ? 'preparing' : 'prepared';
};

/**
Combines the workers' reports on one attempt.

@example
```ts
gangStateOf(placement, links.tasks); // 'running'
```
*/
export const gangStateOf = (placement: Placement, lookup: ReportLookup): GangState => {
	if (placement.blocks.some((block) => lookup(block.worker) === undefined)) {
		return 'unknown';
	}

	const states = reportsOf(placement, lookup).map((report) => report?.state);
	if (states.includes('failed')) {
		return 'failed';
	}

	if (!states.some((state) => STARTED.has(state) || state === 'stopped')) {
		return combineUnstarted(states);
	}

	if (states.includes(undefined) || states.includes('stopped')) {
		return 'broken';
	}

	if (states.every((state) => state === 'succeeded')) {
		return 'succeeded';
	}

	if (states.includes('prepared')) {
		return 'starting';
	}

	return states.includes('running') ? 'running' : 'checkpointed';
};
