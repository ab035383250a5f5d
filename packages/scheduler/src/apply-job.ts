import {toServiceError} from '@bergamotgauge/model';
import type {KeyChanges} from '@bergamotgauge/store';
import type {Log} from '@bergamotgauge/telemetry';
import {createActiveJob, type ActiveJob} from './active-job.js';
import {MAX_TURN_MS} from './constants.js';
import {cancelJob} from './job-outcome.js';
import type {JobTable} from './job-table.js';
import type {LeaderState} from './leader-state.js';
import {createTurns} from './turns.js';

export type ApplyJobOptions = Readonly<{
	state: LeaderState;
	table: JobTable;
	log: Log;
	/** Called with a job that a stored cancellation has ended. */
	onCancelled: (activeJob: ActiveJob) => void;
}>;

/**
Creates the function that takes a job's stored records over into the leader's state.

A job whose records cannot be used is logged and left out: an error would end the process, and that of the next leader too.

@example
```ts
const applyJob = createApplyJob({state, table, log, onCancelled});
applyJob('5c0e7a21d94b36f8');
```
*/
export const createApplyJob = ({state, table, log, onCancelled}: ApplyJobOptions): ((id: string) => void) => {
	const apply = (id: string) => {
		const entry = table.get(id);
		if (!entry?.job || (entry.progress?.outcome !== undefined && !state.activeJobs.has(id))) {
			return;
		}

		const activeJob =
			state.activeJobs.get(id) ??
			createActiveJob({
				job: entry.job,
				progress: entry.progress,
				progressRevision: entry.progressRevision,
				jobRevision: entry.jobRevision,
				isCancelled: entry.cancelRevision > 0,
				nowMs: Date.now(),
			});
		state.activeJobs.set(id, activeJob);
		table.forgetUnits(id);
		if (entry.cancelRevision > 0 && activeJob.outcome === undefined) {
			cancelJob(activeJob, Date.now());
			onCancelled(activeJob);
		}
	};

	return (id) => {
		try {
			apply(id);
		} catch (error) {
			log.error('job-not-applied', {job: id, error: toServiceError(error, 'not-run').message});
		}
	};
};

/**
Applies changes to the table. Those of a listing go on to the leader's state here, in turns, since a listing holds all jobs; those of a watch do by the table's events. Returns whether it was a listing.

@example
```ts
const isLoaded = await applyChanges({table, applyJob}, await store.list(JOBS_PREFIX));
```
*/
export const applyChanges = async (
	{table, applyJob}: Readonly<{table: JobTable; applyJob: (id: string) => void}>,
	changes: KeyChanges,
): Promise<boolean> => {
	if (!changes.isListing) {
		table.apply(changes);
		return false;
	}

	const takeTurn = createTurns(MAX_TURN_MS);
	await table.applyListing(changes, takeTurn);
	for (const [id] of table.entries()) {
		applyJob(id);
		await takeTurn();
	}

	return true;
};
