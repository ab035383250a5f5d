import {MAX_DATA_DEPTH} from './constants.js';

/** Why decoded data is refused, and where. */
export type DataFault = Readonly<{path: readonly PropertyKey[]; message: string}>;

type Pending = Readonly<{value: unknown; path: readonly PropertyKey[]}>;

/**
Finds data that must not reach a schema or a store value: a key `__proto__`, which schemas drop silently, and nesting that recursive code cannot walk. It does not recurse, and a cyclic value counts as too deep.

@example
```ts
findDataFault(JSON.parse('{"__proto__": 1}')); // {path: ['__proto__'], message: 'the key is not allowed'}
```
*/
export const findDataFault = (data: unknown): DataFault | undefined => {
	const pending: Pending[] = [{value: data, path: []}];
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
