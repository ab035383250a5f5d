import Emittery from 'emittery';
import type {Changes, Entry} from './types.js';

export type ReplicaEvents = {changed: ReadonlyArray<Entry<unknown>>};

/** An in-memory copy of the store's values. */
export type Replica = Readonly<{
	/** Store revision up to which the replica is complete. */
	revision: () => number;
	get: (key: string) => Entry<unknown>;
	list: (prefix: string) => ReadonlyArray<Entry<unknown>>;
	/** Changes after a revision; the full replica when removals after that revision may not be recorded here. */
	changesAfter: (revision: number) => Changes;
	/** Merges changes. Older revisions of a key are ignored. */
	apply: (changes: Changes) => void;
	/** Merges changes that start after `afterRevision`. Returns false when earlier changes are missing; the replica's revision then does not advance. */
	applyFrom: (afterRevision: number, changes: Changes) => boolean;
	/** Merges one value that this instance wrote or received outside the ordered stream of changes. */
	applyEntry: (entry: Entry<unknown>) => void;
	events: Emittery<ReplicaEvents>;
}>;

export type ReplicaOptions = Readonly<{
	/** Merge rule for keys whose order is not given by the revision alone. Returns the entry to keep, `undefined` to change nothing, or `'by-revision'` for the default rule. */
	mergeEntry?: (known: Entry<unknown>, incoming: Entry<unknown>) => Entry<unknown> | undefined | 'by-revision';
	/** Called with each entry that was written to the replica. */
	onMerged?: (entry: Entry<unknown>) => void;
}>;

/**
Creates an empty replica of store values.

@example
```ts
replica.events.on('changed', (data) => {
	schedule(data);
});
```
*/
export const createReplica = ({mergeEntry, onMerged}: ReplicaOptions = {}): Replica => {
	const entries = new Map<string, Entry<unknown>>();
	const events = new Emittery<ReplicaEvents>();
	let completeRevision = 0;
	/** Revision of the last full listing. Removals before it may not be recorded here. */
	let baseRevision = 0;

	const get = (key: string): Entry<unknown> => entries.get(key) ?? {key, revision: 0, value: undefined};

	const resolveEntry = (incoming: Entry<unknown>): Entry<unknown> | undefined => {
		const known = get(incoming.key);
		const merged = mergeEntry?.(known, incoming) ?? (mergeEntry ? undefined : 'by-revision');
		if (merged !== 'by-revision') {
			return merged;
		}

		// The replica is complete up to its revision, so an older value that it lacks has since been replaced or removed.
		return incoming.revision > known.revision && incoming.revision > completeRevision ? incoming : undefined;
	};

	const merge = (incoming: ReadonlyArray<Entry<unknown>>) => {
		const changed = new Map<string, Entry<unknown>>();
		for (const entry of incoming) {
			const merged = resolveEntry(entry);
			if (merged) {
				entries.set(merged.key, merged);
				changed.set(merged.key, merged);
				onMerged?.(merged);
			}
		}

		if (changed.size > 0) {
			void events.emit('changed', [...changed.values()]);
		}
	};

	const findImpliedRemovals = (changes: Changes): ReadonlyArray<Entry<unknown>> => {
		const present = new Set(changes.entries.map((entry) => entry.key));
		return [...entries.values()]
			.filter(({key, value, revision}) => value !== undefined && !present.has(key) && revision <= changes.revision)
			.map(({key}) => ({key, revision: changes.revision, value: undefined}));
	};

	const apply = (changes: Changes) => {
		const isNewerSnapshot = changes.compacted && changes.revision > completeRevision;
		merge(isNewerSnapshot ? [...changes.entries, ...findImpliedRemovals(changes)] : changes.entries);
		if (isNewerSnapshot) {
			baseRevision = changes.revision;
		}

		completeRevision = Math.max(completeRevision, changes.revision);
	};

	return {
		events,
		get,
		apply,
		revision: () => completeRevision,
		list: (prefix) =>
			[...entries.values()].filter((entry) => entry.key.startsWith(prefix) && entry.value !== undefined),
		changesAfter(revision) {
			const compacted = revision < baseRevision;
			return {
				revision: completeRevision,
				entries: [...entries.values()].filter(
					(entry) => (compacted || entry.revision > revision) && entry.revision <= completeRevision,
				),
				compacted,
			};
		},
		applyFrom(afterRevision, changes) {
			if (changes.compacted || completeRevision >= afterRevision) {
				apply(changes);
				return true;
			}

			merge(changes.entries);
			return false;
		},
		applyEntry(entry) {
			merge([entry]);
		},
	};
};
