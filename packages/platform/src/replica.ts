import Emittery from 'emittery';
import type {Changes, Entry} from './types.js';

export type ReplicaEvents = {changed: ReadonlyArray<Entry<unknown>>};

/** A copy of the store's values in memory. */
export type Replica = Readonly<{
	/** Store revision up to which the copy is complete. */
	revision: () => number;
	get: (key: string) => Entry<unknown>;
	list: (prefix: string) => ReadonlyArray<Entry<unknown>>;
	/** Changes after a revision, from this copy. */
	changesAfter: (revision: number) => Changes;
	/** Merges changes; older revisions of a key are ignored. */
	apply: (changes: Changes) => void;
	/** Merges one value that this instance wrote. */
	applyOwnWrite: (entry: Entry<unknown>) => void;
	events: Emittery<ReplicaEvents>;
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
export const createReplica = (): Replica => {
	const entries = new Map<string, Entry<unknown>>();
	const events = new Emittery<ReplicaEvents>();
	let completeRevision = 0;

	const merge = (incoming: ReadonlyArray<Entry<unknown>>) => {
		const changed = incoming.filter((entry) => entry.revision > (entries.get(entry.key)?.revision ?? 0));
		for (const entry of changed) {
			entries.set(entry.key, entry);
		}

		if (changed.length > 0) {
			void events.emit('changed', changed);
		}
	};

	const removeMissing = (changes: Changes) => {
		const present = new Set(changes.entries.map((entry) => entry.key));
		const missing = [...entries.values()].filter(
			(entry) => entry.value !== undefined && !present.has(entry.key) && entry.revision <= changes.revision,
		);
		merge(missing.map(({key}) => ({key, revision: changes.revision, value: undefined})));
	};

	return {
		events,
		revision: () => completeRevision,
		get: (key) => entries.get(key) ?? {key, revision: 0, value: undefined},
		list: (prefix) =>
			[...entries.values()].filter((entry) => entry.key.startsWith(prefix) && entry.value !== undefined),
		changesAfter: (revision) => ({
			revision: completeRevision,
			entries: [...entries.values()].filter((entry) => entry.revision > revision && entry.revision <= completeRevision),
			compacted: false,
		}),
		apply(changes) {
			if (changes.compacted) {
				removeMissing(changes);
			}

			completeRevision = Math.max(completeRevision, changes.revision);
			merge(changes.entries);
		},
		applyOwnWrite(entry) {
			merge([entry]);
		},
	};
};
