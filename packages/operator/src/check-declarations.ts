import {
	findDataFault,
	matchesSelector,
	MAX_GANG_ACCELERATORS,
	ServiceError,
	type Declarations,
	type Selector,
} from '@bergamotgauge/model';
import {checkGuarantees, workerLabels} from '@bergamotgauge/placement';
import {findShareFaults} from './check-shares.js';
import {MAX_REPORTED_FAULTS} from './constants.js';
import {describeField, describeValue, valueAt} from './describe-value.js';
import {COLLECTIONS} from './diff.js';
import {DECLARATIONS} from './schema.js';

type Finding = Readonly<{message: string; path?: readonly PropertyKey[]}>;

/** A fault in one item, with the path inside the item. */
export type ItemFault = Finding & Readonly<{collection: keyof Declarations; name: string}>;

type NamedItem = Readonly<{name: string}>;

type Check<Item> = (item: Item, declarations: Declarations) => readonly Finding[];

type Checks = Readonly<{[Collection in keyof Declarations]: Check<Declarations[Collection][number]>}>;

const findMissingReference = (
	itemType: string,
	name: string,
	declared: readonly NamedItem[],
	path: readonly PropertyKey[],
): readonly Finding[] =>
	declared.some((item) => item.name === name) ? [] : [{message: `${itemType} "${name}" is not declared`, path}];

const findUnmatchedSelector = (selector: Selector, {racks}: Declarations): readonly Finding[] =>
	racks.some(({workers}) => workers.some((worker) => matchesSelector(selector, workerLabels(worker))))
		? []
		: [{message: `workerSelector ${describeValue(selector)} matches no declared worker`, path: ['workerSelector']}];

const isRepeated = <Value>(value: Value, index: number, values: readonly Value[]): boolean =>
	values.indexOf(value) !== index;

const checkWorkers: Check<Declarations['racks'][number]> = (rack, {racks}) => {
	const names = rack.workers.map(({name}) => name);
	const positions = rack.workers.map(({position}) => position);
	const rackByOtherWorker = new Map(
		racks.filter((other) => other !== rack).flatMap((other) => other.workers.map(({name}) => [name, other.name])),
	);
	return rack.workers.flatMap((worker, index) => {
		const {name, position} = worker;
		const path = ['workers', index];
		const hasLocationMismatch = worker.rack !== rack.name || worker.availabilityZone !== rack.availabilityZone;
		return [
			...(isRepeated(name, index, names) ? [{message: `worker "${name}" is declared twice`, path}] : []),
			...(rackByOtherWorker.has(name)
				? [{message: `worker "${name}" is also declared in rack "${rackByOtherWorker.get(name)}"`, path}]
				: []),
			...(isRepeated(position, index, positions)
				? [{message: `worker "${name}" has position ${position}, which another worker has`, path}]
				: []),
			...(hasLocationMismatch
				? [{message: `worker "${name}" has a rack or availability zone that differs from its rack`, path}]
				: []),
		];
	});
};

/** Checks that the partner of a rack has declared the terms of the rack's pool; a partner's racks are shared only on terms that it has declared. */
const checkPoolAgreement: Check<Declarations['racks'][number]> = ({partner, pool: poolName}, {pools}) => {
	const pool = pools.find(({name}) => name === poolName);
	const agreedBy = pool?.agreedBy ?? pool?.shares.map((share) => share.partner) ?? [];
	return !pool || partner === undefined || agreedBy.includes(partner)
		? []
		: [{message: `partner "${partner}" has not declared the terms of pool "${poolName}" in force`, path: ['pool']}];
};

const CHECKS: Checks = {
	customers: () => [],
	jobClasses: () => [],
	pools: () => [],
	guarantees: (guarantee, declarations) => [
		...findMissingReference('customer', guarantee.customer, declarations.customers, ['customer']),
		...findUnmatchedSelector(guarantee.workerSelector, declarations),
	],
	placementRules: (rule, declarations) => findUnmatchedSelector(rule.workerSelector, declarations),
	racks(rack, declarations) {
		const accelerators = rack.workers.reduce((sum, worker) => sum + worker.accelerators, 0);
		return [
			...findMissingReference('pool', rack.pool, declarations.pools, ['pool']),
			...checkPoolAgreement(rack, declarations),
			...checkWorkers(rack, declarations),
			...(accelerators > MAX_GANG_ACCELERATORS
				? [{message: `${accelerators} accelerators; a rack has at most ${MAX_GANG_ACCELERATORS}`, path: ['workers']}]
				: []),
		];
	},
	services: (service, {jobClasses}) => [
		...findMissingReference('job class', service.defaultClass, jobClasses, ['defaultClass']),
		...service.classes.flatMap((name, index) =>
			findMissingReference('job class', name, jobClasses, ['classes', index]),
		),
	],
	tokens(token, {customers, tokens}) {
		const isDuplicateHash = tokens.some((other) => other !== token && other.sha256 === token.sha256);
		const faults = isDuplicateHash ? [{message: 'another token has the same sha256', path: ['sha256']}] : [];
		if (token.role === 'operator') {
			return token.customer === undefined
				? faults
				: [...faults, {message: `customer "${token.customer}" is set on an operator token`, path: ['customer']}];
		}

		if (token.customer === undefined) {
			return [...faults, {message: 'a caller token needs a customer'}];
		}

		const customer = customers.find(({name}) => name === token.customer);
		const hasOtherPartner = customer && customer.partner !== token.partner;
		return [
			...faults,
			...findMissingReference('customer', token.customer, customers, ['customer']),
			...(hasOtherPartner
				? [
						{
							message: `customer "${token.customer}" does not belong to partner "${token.partner}"`,
							path: ['customer'],
						},
					]
				: []),
		];
	},
};

const checkCollection = <Collection extends keyof Declarations>(
	collection: Collection,
	declarations: Declarations,
): readonly ItemFault[] => {
	const items: ReadonlyArray<Declarations[Collection][number]> = declarations[collection];
	const names = items.map(({name}) => name);
	return items.flatMap((item, index) =>
		[
			...(isRepeated(item.name, index, names) ? [{message: 'the name is declared twice'}] : []),
			...CHECKS[collection](item, declarations),
		].map((finding) => ({...finding, collection, name: item.name})),
	);
};

const findCapacityFaults = (declarations: Declarations): readonly ItemFault[] => {
	try {
		checkGuarantees(declarations);
		return findShareFaults(declarations).map((fault) => ({...fault, collection: 'guarantees'}));
	} catch (error) {
		if (error instanceof ServiceError && typeof error.details.guarantee === 'string') {
			return [{collection: 'guarantees', name: error.details.guarantee, message: error.message}];
		}

		throw error;
	}
};

/**
Checks names, references and selectors. If these are valid, checks that the guarantees fit the workers and the shares of their partners.

@example
```ts
findItemFaults(declarations); // [{collection: 'racks', name: 'r1', message: 'pool "p" is not declared'}]
```
*/
export const findItemFaults = (declarations: Declarations): readonly ItemFault[] => {
	const faults = COLLECTIONS.flatMap((collection) => checkCollection(collection, declarations));
	return faults.length > 0 ? faults : findCapacityFaults(declarations);
};

/** Formats a fault for an operator. */
export const describeFault = ({collection, name, message}: ItemFault): string => `${collection}/${name}: ${message}`;

const badRequestError = (faults: readonly string[]): ServiceError =>
	new ServiceError(faults.join('\n'), {code: 'bad-request', verdict: 'not-run', details: {faults}});

/**
Validates the declarations in a request against the same schemas as declaration documents.

@throws {ServiceError} `bad-request`, with the path and value of each fault.
*/
export const parseDeclarations = (input: unknown): Declarations => {
	const dataFault = findDataFault(input);
	if (dataFault) {
		throw badRequestError([`${dataFault.path.join('.')}: ${dataFault.message}`]);
	}

	const result = DECLARATIONS.safeParse(input);
	if (!result.success) {
		throw badRequestError(
			result.error.issues
				.slice(0, MAX_REPORTED_FAULTS)
				.map(({path, message}) => `${path.join('.')} is ${describeField(path, valueAt(input, path))}: ${message}`),
		);
	}

	return result.data;
};

/**
Checks a complete set of declarations: names, references, selectors, guarantees and shares.

@throws {ServiceError} `bad-request` with the faults found, or `impossible` for a guarantee that does not fit.
*/
export const requireValid = (declarations: Declarations): void => {
	const faults = COLLECTIONS.flatMap((collection) => checkCollection(collection, declarations));
	if (faults.length > 0) {
		throw badRequestError(faults.slice(0, MAX_REPORTED_FAULTS).map((fault) => describeFault(fault)));
	}

	checkGuarantees(declarations);
	const shareFaults = findShareFaults(declarations);
	if (shareFaults.length > 0) {
		throw badRequestError(shareFaults.map((fault) => describeFault({...fault, collection: 'guarantees'})));
	}
};
