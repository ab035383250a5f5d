import {OPERATION_HISTORY_LENGTH} from './constants.js';
import type {Entry, Operation} from './types.js';

/** The most recent operations on each key, as stored with the values. */
export type OperationHistory = Readonly<{
	/** Records the operations of an entry. Older revisions are ignored. */
	observe: (entry: Entry<unknown>) => void;
	/** Operations up to the write that produced the revision; empty when they are not known. */
	operationsUpTo: (key: string, revision: number) => readonly Operation[];
	/** Adds the known operations to an entry that is sent to another instance. */
	annotate: (entry: Entry<unknown>) => Entry<unknown>;
}>;

/**
Prepends an operation and drops the oldest ones beyond `OPERATION_HISTORY_LENGTH`.

@example
```ts
extendOperations([], {id: '0198…', expectedRevision: 7});
```
*/
export const extendOperations = (earlier: readonly Operation[], operation: Operation): readonly Operation[] =>
	[operation, ...earlier].slice(0, OPERATION_HISTORY_LENGTH);

/**
Creates an empty history. An instance that receives values from its peers also needs their operations, so that its own writes preserve them.

@example
```ts
const history = createOperationHistory();
const store = createStoreClient({url, metrics, history});
```
*/
export const createOperationHistory = (): OperationHistory => {
	const known = new Map<string, Readonly<{revision: number; operations: readonly Operation[]}>>();

	const operationsUpTo = (key: string, revision: number): readonly Operation[] => {
		const found = known.get(key);
		return found?.revision === revision ? found.operations : [];
	};

	return {
		observe({key, revision, operations}) {
			if (operations && revision >= (known.get(key)?.revision ?? 0)) {
				known.set(key, {revision, operations});
			}
		},
		operationsUpTo,
		annotate: (entry) => ({...entry, operations: operationsUpTo(entry.key, entry.revision)}),
	};
};
