import Emittery from 'emittery';
import type {Changes, Entry} from './types.js';

export type ReplicaEvents = {changed: ReadonlyArray<Entry<unknown>>};

/** A copy of the store's values in memory. */
export type Replica = Readonly<{
	/** Store revision up to which the copy is complete. */
	revision: () => number;
	get: (key: string) => Entry<unknown>;
	list: (prefix: string) => ReadonlyArray<Entry<unknown>>;
	/** Changes after a revision, from this copy; the full copy when its memory of removed keys begins later. */
	changesAfter: (revision: number) => Changes;
	/** Merges changes; older revisions of a key are ignored. */
	apply: (changes: Changes) => void;
	/** Merges changes that start after `afterRevision`. Returns false when earlier ones are missing, so that the copy is not complete. */
	applyFrom: (afterRevision: number, changes: Changes) => boolean;
	/** Merges one value that this instance wrote or learnt outside the order of changes. */
	applyOwnWrite: (entry: Entry<unknown>) => void;
	events: Emittery<ReplicaEvents>;
}>;

export type ReplicaOptions = Readonly<{
	/** Rule for keys that do not follow the revision alone: gives the entry to keep, `undefined` to change nothing, or `'by-revision'`. */
	mergeEntry?: (known: Entry<unknown>, incoming: Entry<unknown>) => Entry<unknown> | undefined | 'by-revision';
	/** Called with each entry that was merged. */
	onMerged?: (entry: Entry<unknown>) => void;
}>;

/**
Creates an empty copy of store values.

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
	/** Removals before this revision may be unknown here. */
	let baseRevision = 0;

	const get = (key: string): Entry<unknown> => entries.get(key) ?? {key, revision: 0, value: undefined};

	const choose = (incoming: Entry<unknown>): Entry<unknown> | undefined => {
		const known = get(incoming.key);
		const merged = mergeEntry?.(known, incoming) ?? (mergeEntry ? undefined : 'by-revision');
		if (merged !== 'by-revision') {
			return merged;
		}

		// The copy is complete up to its revision, so an older value that it does not hold was replaced or removed since.
		return incoming.revision > known.revision && incoming.revision > completeRevision ? incoming : undefined;
	};

	const merge = (incoming: ReadonlyArray<Entry<unknown>>) => {
		const changed = new Map<string, Entry<unknown>>();
		for (const entry of incoming) {
			const merged = choose(entry);
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

	const missingFrom = (changes: Changes): ReadonlyArray<Entry<unknown>> => {
		const present = new Set(changes.entries.map((entry) => entry.key));
		return [...entries.values()]
			.filter(({key, value, revision}) => value !== undefined && !present.has(key) && revision <= changes.revision)
			.map(({key}) => ({key, revision: changes.revision, value: undefined}));
	};

	const apply = (changes: Changes) => {
		const isNewerList = changes.compacted && changes.revision > completeRevision;
		merge(isNewerList ? [...changes.entries, ...missingFrom(changes)] : changes.entries);
		if (isNewerList) {
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
		applyOwnWrite(entry) {
			merge([entry]);
		},
	};
};
