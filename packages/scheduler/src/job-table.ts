import {decodeJob, decodeProgress, type Job, type JobState, type Progress} from '@bergamotgauge/jobs';
import type {KeyChanges, StoredItem} from '@bergamotgauge/store';
import type {Log} from '@bergamotgauge/telemetry';
import Emittery from 'emittery';
import {CANCEL_PREFIX, JOB_PREFIX, LEADER_KEY, PROGRESS_PREFIX} from './constants.js';

/** What the store holds about one job. */
export type JobEntry = Readonly<{
	job: Job | undefined;
	jobRevision: number;
	progress: Progress | undefined;
	progressRevision: number;
	cancelRevision: number;
}>;

export type JobTableEvents = {changed: readonly string[]; leader: undefined};

/** Copy of the stored jobs in memory. */
export type JobTable = Readonly<{
	get: (id: string) => JobEntry | undefined;
	entries: () => Iterable<[string, JobEntry]>;
	/** Item of the leader key; `undefined` while there is no leader. */
	leader: () => StoredItem | undefined;
	/** Whether the copy has been complete once. */
	isLoaded: () => boolean;
	apply: (changes: KeyChanges) => void;
	/** Merges items that were written or read outside the watch. */
	learn: (items: readonly StoredItem[]) => void;
	events: Emittery<JobTableEvents>;
}>;

const EMPTY: JobEntry = {
	job: undefined,
	jobRevision: 0,
	progress: undefined,
	progressRevision: 0,
	cancelRevision: 0,
};

const idOf = (key: string): string => key.slice(key.lastIndexOf('/') + 1);

/** State of a job as callers see it; an outcome that is stored goes before a later cancellation. */
export const stateOf = ({progress, cancelRevision}: JobEntry): JobState => {
	if (progress?.outcome) {
		return progress.outcome;
	}

	if (cancelRevision > 0) {
		return 'cancelled';
	}

	return progress?.hasBegun ? 'active' : 'queued';
};

/**
Creates an empty copy.

@example
```ts
const table = createJobTable(log);
table.apply(await store.list(ROOT_PREFIX));
```
*/
export const createJobTable = (log: Log): JobTable => {
	const jobs = new Map<string, JobEntry>();
	const events = new Emittery<JobTableEvents>();
	let leader: StoredItem | undefined;
	let removedLeaderRevision = 0;
	let isLoaded = false;
	/** Revision up to which removals are known; older items must not bring a removed job back. */
	let completeRevision = 0;

	const set = (id: string, change: Partial<JobEntry>) => {
		jobs.set(id, {...(jobs.get(id) ?? EMPTY), ...change});
	};

	const mergeLeader = (item: StoredItem) => {
		if (item.revision > (leader?.revision ?? removedLeaderRevision)) {
			leader = item;
			void events.emit('leader');
		}
	};

	const mergeItem = (item: StoredItem): string | undefined => {
		const {key, revision, value} = item;
		const id = idOf(key);
		const known = jobs.get(id) ?? EMPTY;
		try {
			if (key === LEADER_KEY) {
				mergeLeader(item);
			} else if (key.startsWith(JOB_PREFIX) && revision > known.jobRevision) {
				set(id, {job: decodeJob(value), jobRevision: revision});
				return id;
			} else if (key.startsWith(PROGRESS_PREFIX) && revision > known.progressRevision) {
				set(id, {progress: decodeProgress(value), progressRevision: revision});
				return id;
			} else if (key.startsWith(CANCEL_PREFIX) && revision > known.cancelRevision) {
				set(id, {cancelRevision: revision});
				return id;
			}
		} catch (error) {
			log.error('record-unreadable', {key, revision, error: error instanceof Error ? error.message : String(error)});
		}

		return undefined;
	};

	const mergeRemoval = (key: string, revision: number): string | undefined => {
		if (key === LEADER_KEY) {
			if ((leader?.revision ?? 0) <= revision) {
				leader = undefined;
				removedLeaderRevision = revision;
				void events.emit('leader');
			}

			return undefined;
		}

		const id = idOf(key);
		// The records of a job are removed in one transaction.
		return key.startsWith(JOB_PREFIX) && jobs.delete(id) ? id : undefined;
	};

	const removalsOf = (changes: KeyChanges): readonly string[] => {
		if (!changes.isListing) {
			return changes.removed;
		}

		const present = new Set(changes.items.map(({key}) => key));
		const gone = [...jobs]
			.filter(([id, entry]) => entry.jobRevision <= changes.revision && !present.has(JOB_PREFIX + id))
			.map(([id]) => JOB_PREFIX + id);
		return leader && leader.revision <= changes.revision && !present.has(LEADER_KEY) ? [...gone, LEADER_KEY] : gone;
	};

	const emitChanged = (ids: ReadonlyArray<string | undefined>) => {
		const changed = [...new Set(ids.filter((id) => id !== undefined))];
		if (changed.length > 0) {
			void events.emit('changed', changed);
		}
	};

	return {
		events,
		get: (id) => jobs.get(id),
		entries: () => jobs.entries(),
		leader: () => leader,
		isLoaded: () => isLoaded,
		apply(changes) {
			const removed = removalsOf(changes).map((key) => mergeRemoval(key, changes.revision));
			const merged = changes.items.map((item) => mergeItem(item));
			isLoaded ||= changes.isListing;
			completeRevision = Math.max(completeRevision, changes.revision);
			emitChanged([...removed, ...merged]);
		},
		learn(items) {
			// An older item may be one whose removal this copy has already seen.
			emitChanged(
				items.filter(({revision}) => revision > completeRevision).map((item) => mergeItem(item)),
			);
		},
	};
};
