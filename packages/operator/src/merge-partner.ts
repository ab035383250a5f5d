import {isDeepStrictEqual} from 'node:util';
import {ServiceError, type Declarations} from '@bergamotgauge/model';
import {EVERY_PARTNER} from './constants.js';
import {COLLECTIONS} from './diff.js';
import {mergePools} from './merge-pools.js';
import {partnerOf, withPartner} from './partners.js';

type Collection = keyof Declarations;

type Item = Readonly<{name: string; partner?: string; customer?: string}>;

const forbiddenError = (
	collection: Collection,
	name: string,
	partner: string,
	owner: string | undefined,
): ServiceError =>
	new ServiceError(
		`${collection}/${name} belongs to partner ${owner ?? 'unknown'}; an operator of partner ${partner} must not change it`,
		{code: 'forbidden', verdict: 'not-run', details: {collection, name}},
	);

const mergeCollection = (
	collection: Exclude<Collection, 'pools'>,
	current: Declarations,
	requested: Declarations,
	partner: string,
): readonly Item[] => {
	const before: readonly Item[] = current[collection];
	const after: readonly Item[] = requested[collection];
	// The customer of a requested guarantee may be in force already or be added by the request.
	const customers = {...requested, customers: [...current.customers, ...requested.customers]};
	const others = before.filter((item) => partnerOf(collection, item, current) !== partner);
	const own = after.filter((item) => {
		const other = others.find(({name}) => name === item.name);
		if (other && isDeepStrictEqual(other, item)) {
			return false;
		}

		const owner = other ? partnerOf(collection, other, current) : partnerOf(collection, item, customers);
		// A guarantee whose customer is not declared has no owner here; the later reference check reports it.
		if (other !== undefined || (owner !== undefined && owner !== partner)) {
			throw forbiddenError(collection, item.name, partner, owner);
		}

		return true;
	});
	return [...others, ...own];
};

/**
Replaces the declarations of one partner and keeps those of the others. The request may repeat items of other partners unchanged or leave them out.

@example
```ts
const next = mergePartner(bundle, requested, 'quebec');
```

@throws {ServiceError} `forbidden`, naming the item of another partner that the request would change.
*/
export const mergePartner = (current: Declarations, requested: Declarations, partner: string): Declarations => {
	const own = partner === EVERY_PARTNER ? requested : withPartner(requested, partner);
	const merge = (collection: Collection): readonly Item[] => {
		if (collection === 'pools') {
			return mergePools(current.pools, own.pools, partner);
		}

		return partner === EVERY_PARTNER ? own[collection] : mergeCollection(collection, current, own, partner);
	};

	const merged = Object.fromEntries(
		COLLECTIONS.map((collection) => [collection, merge(collection).toSorted((a, b) => a.name.localeCompare(b.name))]),
	);
	return merged as unknown as Declarations;
};
