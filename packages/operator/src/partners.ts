import type {Declarations} from '@bergamotgauge/model';
import {COLLECTIONS} from './diff.js';

type Collection = keyof Declarations;

/** Returns the sorted names of all partners that occur in the declarations. */
export const namedPartners = (declarations: Declarations): readonly string[] => {
	const {customers, placementRules, services, tokens, racks, jobClasses, pools} = declarations;
	const named = [...customers, ...placementRules, ...services, ...tokens, ...racks, ...jobClasses].flatMap(
		({partner}) => partner ?? [],
	);
	const sharing = pools.flatMap(({shares}) => shares.map(({partner}) => partner));
	return [...new Set([...named, ...sharing])].toSorted();
};

/**
Sets the partner of racks and job classes that have none.

@example
```ts
withPartner(declarations, 'quebec');
```
*/
export const withPartner = (declarations: Declarations, partner: string): Declarations => ({
	...declarations,
	racks: declarations.racks.map((rack) => ({...rack, partner: rack.partner ?? partner})),
	jobClasses: declarations.jobClasses.map((jobClass) => ({...jobClass, partner: jobClass.partner ?? partner})),
});

/**
Returns the partner that may change an item, or `undefined` when the declarations do not determine it. A guarantee belongs to the partner of its customer; a pool belongs to all partners in its shares and has no single owner.
*/
export const partnerOf = (
	collection: Collection,
	item: Readonly<{name: string; partner?: string; customer?: string}>,
	{customers}: Declarations,
): string | undefined =>
	collection === 'guarantees' ? customers.find(({name}) => name === item.customer)?.partner : item.partner;

/** Returns the items that an operator of the partner may change, with the terms of the pools in which the partner has a share. */
export const ownDeclarations = (declarations: Declarations, partner: string): Declarations => {
	const own = Object.fromEntries(
		COLLECTIONS.map((collection) => {
			const items: ReadonlyArray<Readonly<{name: string}>> = declarations[collection];
			return [collection, items.filter((item) => partnerOf(collection, item, declarations) === partner)];
		}),
	) as unknown as Declarations;
	const pools = declarations.pools
		.filter(({shares}) => shares.some((share) => share.partner === partner))
		.map(({name, weights, shares}) => ({name, weights, shares}));
	return {...own, pools};
};
