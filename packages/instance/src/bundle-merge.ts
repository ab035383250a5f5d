import {BUNDLE_KEY, type Bundle} from '@bergamotgauge/model';
import type {Entry, ReplicaOptions} from '@bergamotgauge/store';

/** Generation of a bundle entry; 0 without a value. */
export const generationOf = (entry: Entry<unknown>): number => (entry.value as Bundle | undefined)?.generation ?? 0;

/**
Keeps the bundle of the highest generation. A removed entry, or an older bundle under a newer revision, advances only the revision, which the next compare-and-swap needs.

@example
```ts
const replica = createReplica({mergeEntry: mergeBundle});
```
*/
export const mergeBundle: NonNullable<ReplicaOptions['mergeEntry']> = (known, incoming) => {
	if (incoming.key !== BUNDLE_KEY) {
		return 'by-revision';
	}

	const isNewerRevision = incoming.revision > known.revision;
	if (generationOf(incoming) > generationOf(known)) {
		return isNewerRevision ? incoming : {key: incoming.key, revision: known.revision, value: incoming.value};
	}

	return isNewerRevision ? {...incoming, value: known.value} : undefined;
};
