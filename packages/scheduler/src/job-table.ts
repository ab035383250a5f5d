import type {KeyChanges, StoredItem} from '@bergamotgauge/store';
import type {Log} from '@bergamotgauge/telemetry';
import Emittery from 'emittery';
import {EMPTY_ENTRY, mergeRecord, type JobEntry} from './job-entry.js';
import {jobKey, parseJobKey} from './keys.js';

export type JobTableEvents = {changed: readonly string[]};

/** The leader's replica of the stored jobs. */
export type JobTable = Readonly<{
	get: (id: string) => JobEntry | undefined;
	entries: () => Iterable<[string, JobEntry]>;
	/** Whether a complete listing has been applied. */
	isLoaded: () => boolean;
	apply: (changes: KeyChanges) => void;
	/** Applies a listing without events; other tasks run in the turns taken between its items. */
	applyListing: (listing: KeyChanges, takeTurn: () => Promise<void>) => Promise<void>;
	/** Forgets the stored progress of a job's units, which the leader keeps with the active job. */
	forgetUnits: (id: string) => void;
	/** Revision of the store up to which the changes are applied. */
	revision: () => number;
	/** Merges items that this instance has written. */
	mergeWritten: (items: readonly StoredItem[]) => void;
	events: Emittery<JobTableEvents>;
}>;

/**
Creates an empty replica.

@example
```ts
const table = createJobTable(log);
table.apply(await store.list(JOBS_PREFIX));
```
*/
export const createJobTable = (log: Log): JobTable => {
	const jobs = new Map<string, JobEntry>();
	const events = new Emittery<JobTableEvents>();
	let isLoaded = false;
	let revision = 0;

	const mergeItem = (item: StoredItem): string | undefined => {
		const id = parseJobKey(item.key)?.id;
		if (id === undefined) {
			return undefined;
		}

		try {
			const known = jobs.get(id) ?? EMPTY_ENTRY;
			const merged = mergeRecord(known, item);
			jobs.set(id, merged);
			return merged === known ? undefined : id;
		} catch (error) {
			log.error('record-unreadable', {
				key: item.key,
				revision: item.revision,
				error: error instanceof Error ? error.message : String(error),
			});
			return undefined;
		}
	};

	/** The records of a job are removed in one transaction, so the removal of its submission stands for all of them. */
	const removeJob = (key: string): string | undefined => {
		const parsed = parseJobKey(key);
		return parsed?.record === 'submission' && jobs.delete(parsed.id) ? parsed.id : undefined;
	};

	const removalsOf = (changes: KeyChanges): readonly string[] => {
		if (!changes.isListing) {
			return changes.removed;
		}

		const present = new Set(changes.items.map(({key}) => key));
		return [...jobs]
			.filter(([, {jobRevision}]) => jobRevision <= changes.revision)
			.map(([id]) => jobKey(id, 'submission'))
			.filter((key) => !present.has(key));
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
		isLoaded: () => isLoaded,
		apply(changes) {
			const removed = removalsOf(changes).map((key) => removeJob(key));
			const merged = changes.items.map((item) => mergeItem(item));
			isLoaded ||= changes.isListing;
			revision = Math.max(revision, changes.revision);
			emitChanged([...removed, ...merged]);
		},
		async applyListing(listing, takeTurn) {
			for (const key of removalsOf(listing)) {
				removeJob(key);
			}

			for (const item of listing.items) {
				mergeItem(item);
				// The records of a job may be read in any order, so none is used before all are merged.
				await takeTurn();
			}

			isLoaded = true;
			revision = Math.max(revision, listing.revision);
		},
		forgetUnits(id) {
			const entry = jobs.get(id);
			if (entry?.progress) {
				jobs.set(id, {...entry, progress: {...entry.progress, parts: {}}});
			}
		},
		revision: () => revision,
		mergeWritten(items) {
			emitChanged(items.map((item) => mergeItem(item)));
		},
	};
};
