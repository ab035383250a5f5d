import {isDeepStrictEqual} from 'node:util';
import type {Declarations} from '@bergamotgauge/model';
import type {DeclarationChange} from './types.js';

export const EMPTY_DECLARATIONS: Declarations = {
	customers: [],
	guarantees: [],
	jobClasses: [],
	pools: [],
	placementRules: [],
	racks: [],
	services: [],
	tokens: [],
};

const COLLECTIONS = Object.keys(EMPTY_DECLARATIONS) as ReadonlyArray<keyof Declarations>;

type Named = Readonly<{name: string}>;

const diffCollection = (
	collection: keyof Declarations,
	before: readonly Named[],
	after: readonly Named[],
): readonly DeclarationChange[] => {
	const old = new Map(before.map((item) => [item.name, item]));
	const current = new Map(after.map((item) => [item.name, item]));
	const removed = before.filter(({name}) => !current.has(name));
	return [
		...removed.map(({name}) => ({kind: 'removed', collection, name}) as const),
		...after
			.filter((item) => !isDeepStrictEqual(old.get(item.name), item))
			.map(({name}) => ({kind: old.has(name) ? 'changed' : 'added', collection, name}) as const),
	];
};

/**
Lists what differs between two sets of declarations.

@example
```ts
diffDeclarations(before, after); // [{kind: 'changed', collection: 'customers', name: 'acme'}]
```
*/
export const diffDeclarations = (before: Declarations, after: Declarations): readonly DeclarationChange[] =>
	COLLECTIONS.flatMap((collection) => diffCollection(collection, before[collection], after[collection]));
