import {decodeJob, decodeProgress, type Job, type JobState, type Progress} from '@bergamotgauge/jobs';
import type {StoredItem} from '@bergamotgauge/store';
import {parseJobKey} from './keys.js';

/** Stored records of one job; a revision of 0 means that the record does not exist. */
export type JobEntry = Readonly<{
	job: Job | undefined;
	jobRevision: number;
	progress: Progress | undefined;
	progressRevision: number;
	cancelRevision: number;
}>;

export const EMPTY_ENTRY: JobEntry = {
	job: undefined,
	jobRevision: 0,
	progress: undefined,
	progressRevision: 0,
	cancelRevision: 0,
};

/** The units of a job that has ended are no longer of use, and may be thousands. */
const withoutEndedUnits = (progress: Progress): Progress => (progress.outcome ? {...progress, parts: {}} : progress);

/**
Merges a record into the entry of its job; an older record is ignored.

@throws {ServiceError} `internal` when a newer version wrote the record.
*/
export const mergeRecord = (entry: JobEntry, {key, revision, value}: StoredItem): JobEntry => {
	switch (parseJobKey(key)?.record) {
		case 'submission': {
			return revision > entry.jobRevision ? {...entry, job: decodeJob(value), jobRevision: revision} : entry;
		}

		case 'progress': {
			return revision > entry.progressRevision
				? {...entry, progress: withoutEndedUnits(decodeProgress(value)), progressRevision: revision}
				: entry;
		}

		case 'cancellation': {
			return {...entry, cancelRevision: Math.max(entry.cancelRevision, revision)};
		}

		case undefined: {
			return entry;
		}
	}
};

/** State of a job as shown to callers; a stored outcome takes precedence over a later cancellation. */
export const stateOf = ({progress, cancelRevision}: JobEntry): JobState => {
	if (progress?.outcome) {
		return progress.outcome;
	}

	if (cancelRevision > 0) {
		return 'cancelled';
	}

	return progress?.hasBegun ? 'active' : 'queued';
};
