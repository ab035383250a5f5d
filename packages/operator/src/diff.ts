import {isDeepStrictEqual} from 'node:util';
import type {Declarations} from '@bergamotgauge/model';
import type {DeclarationChange, FieldChange} from './types.js';

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

/** Names of the collections of declarations. */
export const COLLECTIONS = Object.keys(EMPTY_DECLARATIONS) as ReadonlyArray<keyof Declarations>;

type NamedItem = Readonly<{name: string}>;

type Fields = Readonly<Record<string, unknown>>;

const isFields = (value: unknown): value is Fields => typeof value === 'object' && value !== null;

const isNamedList = (value: unknown): value is readonly NamedItem[] =>
	Array.isArray(value) && value.length > 0 && value.every((item) => isFields(item) && typeof item.name === 'string');

/** Keys a list of named items by name, so that adding a worker to a rack does not change the paths of the other workers. */
const fieldsOf = (value: Fields): Fields =>
	isNamedList(value) ? Object.fromEntries(value.map((item) => [item.name, item])) : value;

const diffFields = (before: Fields, after: Fields, prefix: string): readonly FieldChange[] => {
	const [old, current] = [fieldsOf(before), fieldsOf(after)];
	return [...new Set([...Object.keys(old), ...Object.keys(current)])].flatMap((key) => {
		const [oldValue, value] = [old[key], current[key]];
		if (isDeepStrictEqual(oldValue, value)) {
			return [];
		}

		const path = `${prefix}${key}`;
		return isFields(oldValue) && isFields(value)
			? diffFields(oldValue, value, `${path}.`)
			: [{path, before: oldValue, after: value}];
	});
};

const diffCollection = (
	collection: keyof Declarations,
	before: readonly NamedItem[],
	after: readonly NamedItem[],
): readonly DeclarationChange[] => {
	const old = new Map(before.map((item) => [item.name, item]));
	const current = new Set(after.map(({name}) => name));
	const removed = before.filter(({name}) => !current.has(name));
	return [
		...removed.map(({name}) => ({kind: 'removed', collection, name}) as const),
		...after.flatMap((item): readonly DeclarationChange[] => {
			const previous = old.get(item.name);
			if (!previous) {
				return [{kind: 'added', collection, name: item.name}];
			}

			const fields = diffFields(previous, item, '');
			return fields.length > 0 ? [{kind: 'changed', collection, name: item.name, fields}] : [];
		}),
	];
};

/**
Lists the differences between two sets of declarations, with the changed fields of each changed item.

@example
```ts
diffDeclarations(before, after);
// [{kind: 'changed', collection: 'customers', name: 'acme', fields: [{path: 'weight', before: 1, after: 2}]}]
```
*/
export const diffDeclarations = (before: Declarations, after: Declarations): readonly DeclarationChange[] =>
	COLLECTIONS.flatMap((collection) => diffCollection(collection, before[collection], after[collection]));
