import {MAX_DATA_DEPTH} from './constants.js';

/** Reason why decoded data is rejected, and its path. */
export type DataFault = Readonly<{path: readonly PropertyKey[]; message: string}>;

type PendingNode = Readonly<{value: unknown; path: readonly PropertyKey[]}>;

/**
Finds data that must not reach a schema or a stored value: the key `__proto__`, which schemas drop silently, and nesting that is too deep for recursive code. The traversal is iterative, and a cyclic value is reported as too deep.

@example
```ts
findDataFault(JSON.parse('{"__proto__": 1}')); // {path: ['__proto__'], message: 'the key is not allowed'}
```
*/
export const findDataFault = (data: unknown): DataFault | undefined => {
	const pending: PendingNode[] = [{value: data, path: []}];
	for (let next = pending.pop(); next; next = pending.pop()) {
		const {value, path} = next;
		if (typeof value !== 'object' || value === null) {
			continue;
		}

		if (path.length >= MAX_DATA_DEPTH) {
			return {path, message: `nested more than ${MAX_DATA_DEPTH} levels deep`};
		}

		if (Object.hasOwn(value, '__proto__')) {
			return {path: [...path, '__proto__'], message: 'the key is not allowed'};
		}

		for (const [key, item] of Object.entries(value)) {
			pending.push({value: item, path: [...path, Array.isArray(value) ? Number(key) : key]});
		}
	}

	return undefined;
};
