import type {JobRecord, Placement} from '@bergamotgauge/model';
import type {GangState} from './gang.js';

/** The next step for a placement. */
export type ReconcileAction =
	/** Nothing to do until something changes. */
	| 'wait'
	/** Prepare all workers, assign the attempt to the placement, then start all. */
	| 'start'
	/** Record the job's answer, then release. */
	| 'succeed'
	/** Record the failure and queue the next attempt or end, then release. */
	| 'fail'
	/** Checkpoint all tasks. */
	| 'checkpoint'
	/** Queue the next attempt, or end an at-most-once job that may have run, then release. */
	| 'requeue'
	/** End the job as cancelled, then release. */
	| 'cancel'
	/** Stop the tasks and remove the placement. */
	| 'release';

type ActionsByGangState = Readonly<Record<GangState, ReconcileAction>>;

/** Status of a placement according to its job's record. */
export type PlacementStatus =
	/** The job has ended, is gone, has another attempt, or is assigned to another placement. */
	| 'stale'
	| 'cancelled'
	/** The attempt is not assigned yet, so no task has started. */
	| 'unassigned'
	/** Tasks may have started. */
	| 'assigned'
	| 'evicting-unassigned'
	| 'evicting';

const ACTIONS_AFTER_END = {succeeded: 'succeed', failed: 'fail', checkpointed: 'requeue', broken: 'requeue'} as const;

const ACTION_TABLE: Readonly<Record<PlacementStatus, ActionsByGangState>> = {
	unassigned: {
		...ACTIONS_AFTER_END,
		unknown: 'wait',
		absent: 'start',
		preparing: 'start',
		prepared: 'start',
		starting: 'start',
		running: 'wait',
	},
	assigned: {
		...ACTIONS_AFTER_END,
		unknown: 'wait',
		// A worker that has lost a started task may have run it.
		absent: 'requeue',
		preparing: 'requeue',
		prepared: 'start',
		starting: 'start',
		running: 'wait',
	},
	'evicting-unassigned': {
		...ACTIONS_AFTER_END,
		unknown: 'wait',
		absent: 'release',
		preparing: 'release',
		prepared: 'release',
		starting: 'checkpoint',
		running: 'checkpoint',
	},
	evicting: {
		...ACTIONS_AFTER_END,
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
Determines the status of a placement from its job's record.

@example
```ts
placementStatusOf(job, 'r1', placement); // 'assigned'
```
*/
export const placementStatusOf = (job: JobRecord | undefined, rack: string, placement: Placement): PlacementStatus => {
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
Determines the next action from the placement's status and the workers' reports. A start is idempotent for its token and is repeated, which completes a start that an earlier owner left unfinished.

@example
```ts
reconcile('assigned', 'succeeded'); // 'succeed'
```
*/
export const reconcile = (status: PlacementStatus, gang: GangState): ReconcileAction => ACTION_TABLE[status][gang];
