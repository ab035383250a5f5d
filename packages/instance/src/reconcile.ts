import type {JobRecord, Placement} from '@bergamotgauge/model';
import type {GangState} from './gang.js';

/** The next step for a placement. */
export type ReconcileAction =
	/** Nothing to do until something changes. */
	| 'wait'
	/** Prepare all workers, assign the attempt to the placement, then start all. */
	| 'start'
	/** Record the answer, then release. */
	| 'succeed'
	/** Record the failure and queue the next attempt or end, then release. */
	| 'fail'
	/** Checkpoint all tasks. */
	| 'checkpoint'
	/** Queue the next attempt, or end the job where it must not run twice, then release. */
	| 'requeue'
	/** End the job as cancelled, then release. */
	| 'cancel'
	/** Stop the tasks and remove the placement. */
	| 'release';

type Row = Readonly<Record<GangState, ReconcileAction>>;

/** What the job's record says of the placement. */
export type Standing =
	/** The job has ended, is gone, has another attempt, or is assigned to another placement. */
	| 'stale'
	| 'cancelled'
	/** The attempt is not assigned yet, so no task has started. */
	| 'unassigned'
	/** Tasks may have started. */
	| 'assigned'
	| 'evicting-unassigned'
	| 'evicting';

const ended = {succeeded: 'succeed', failed: 'fail', checkpointed: 'requeue', broken: 'requeue'} as const;

const ROWS: Readonly<Record<Standing, Row>> = {
	unassigned: {
		...ended,
		unknown: 'wait',
		absent: 'start',
		preparing: 'start',
		prepared: 'start',
		starting: 'start',
		running: 'wait',
	},
	assigned: {
		...ended,
		unknown: 'wait',
		// A worker that has lost a started task may have run it.
		absent: 'requeue',
		preparing: 'requeue',
		prepared: 'start',
		starting: 'start',
		running: 'wait',
	},
	'evicting-unassigned': {
		...ended,
		unknown: 'wait',
		absent: 'release',
		preparing: 'release',
		prepared: 'release',
		starting: 'checkpoint',
		running: 'checkpoint',
	},
	evicting: {
		...ended,
		unknown: 'wait',
		absent: 'requeue',
		preparing: 'requeue',
		prepared: 'requeue',
		starting: 'checkpoint',
		running: 'checkpoint',
	},
	cancelled: {
		unknown: 'cancel',
		absent: 'cancel',
		preparing: 'cancel',
		prepared: 'cancel',
		starting: 'cancel',
		running: 'cancel',
		broken: 'cancel',
		checkpointed: 'cancel',
		failed: 'cancel',
		succeeded: 'succeed',
	},
	stale: {
		unknown: 'release',
		absent: 'release',
		preparing: 'release',
		prepared: 'release',
		starting: 'release',
		running: 'release',
		broken: 'release',
		checkpointed: 'release',
		failed: 'release',
		succeeded: 'release',
	},
};

/**
Says how a job's record stands to a placement of it.

@example
```ts
standingOf(job, 'r1', placement); // 'assigned'
```
*/
export const standingOf = (job: JobRecord | undefined, rack: string, placement: Placement): Standing => {
	if (job?.state !== 'queued' || job.attempt !== placement.attempt) {
		return 'stale';
	}

	const {assignment} = job;
	if (assignment && (assignment.rack !== rack || assignment.token !== placement.token)) {
		return 'stale';
	}

	if (job.cancelRequested) {
		return 'cancelled';
	}

	if (placement.phase === 'evicting') {
		return assignment ? 'evicting' : 'evicting-unassigned';
	}

	return assignment ? 'assigned' : 'unassigned';
};

/**
Says what follows from the job's record, the rack's record and the workers' reports together. A start is repeated because it is idempotent for its token; that completes a start that an earlier owner left half done.

@example
```ts
reconcile('assigned', 'succeeded'); // 'succeed'
```
*/
export const reconcile = (standing: Standing, gang: GangState): ReconcileAction => ROWS[standing][gang];
