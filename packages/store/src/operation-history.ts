import {OPERATION_HISTORY_LENGTH} from './constants.js';
import type {Entry, Operation} from './types.js';

/** The newest operations on each key, as the stored values carry them. */
export type OperationHistory = Readonly<{
	/** Takes the operations of an entry; older revisions are ignored. */
	observe: (entry: Entry<unknown>) => void;
	/** Operations up to the write that made the revision; empty when they are not known. */
	upTo: (key: string, revision: number) => readonly Operation[];
	/** Adds the known operations to an entry, for another instance. */
	annotate: (entry: Entry<unknown>) => Entry<unknown>;
}>;

/**
Puts an operation before the earlier ones and drops the oldest beyond the bound.

@example
```ts
extendOperations([], {id: '0198…', expectedRevision: 7});
```
*/
export const extendOperations = (earlier: readonly Operation[], operation: Operation): readonly Operation[] =>
	[operation, ...earlier].slice(0, OPERATION_HISTORY_LENGTH);

/**
Creates an empty history. An instance that learns values from its peers needs their operations too, so that its own writes keep them.

@example
```ts
const history = createOperationHistory();
const store = createStoreClient({url, metrics, history});
```
*/
export const createOperationHistory = (): OperationHistory => {
	const known = new Map<string, Readonly<{revision: number; operations: readonly Operation[]}>>();

	const upTo = (key: string, revision: number): readonly Operation[] => {
		const found = known.get(key);
		return found?.revision === revision ? found.operations : [];
	};

	return {
		observe({key, revision, operations}) {
			if (operations && revision >= (known.get(key)?.revision ?? 0)) {
				known.set(key, {revision, operations});
			}
		},
		upTo,
		annotate: (entry) => ({...entry, operations: upTo(entry.key, entry.revision)}),
	};
};
