import {createHash} from 'node:crypto';
import {fileURLToPath} from 'node:url';
import type {AccessToken, Declarations} from '@bergamotgauge/model';
import t from 'tap';
import {loadDirectory, mergePartner, parseDeclarations, prepareDeclarations} from './index.js';

const EXAMPLE = fileURLToPath(new URL('../../../examples/shared', import.meta.url));

const operatorOf = (partner: string): AccessToken => ({
	name: `${partner}-operator`,
	sha256: createHash('sha256').update(partner).digest('hex'),
	role: 'operator',
	partner,
});

const load = async (directory: string, ...partners: readonly string[]): Promise<Declarations> => {
	const result = await loadDirectory(directory);
	if (!result.ok) {
		throw new Error(JSON.stringify(result.faults));
	}

	return {...result.declarations, tokens: partners.map((partner) => operatorOf(partner))};
};

const both = async (): Promise<Declarations> =>
	prepareDeclarations(undefined, {...operatorOf('*'), partner: '*'}, await load(EXAMPLE, 'quebec', 'lima'));

const withCustomer = (declarations: Declarations, name: string, partner: string, weight: number): Declarations => ({
	...declarations,
	customers: [
		...declarations.customers.filter((customer) => customer.name !== name),
		{...declarations.customers[0]!, name, partner, weight},
	],
});

// Guards against an operator who replaces or changes what belongs to the other partner.
await t.test('an apply replaces only its own partner', async (t) => {
	const current = await both();
	const own = await load(`${EXAMPLE}/quebec`, 'quebec');
	t.strictSame(prepareDeclarations(current, operatorOf('quebec'), own), current, 'own files alone keep the rest');
	t.strictSame(
		prepareDeclarations(current, operatorOf('quebec'), current),
		current,
		'others may be repeated unchanged',
	);

	const next = mergePartner(current, withCustomer(own, 'agents', 'quebec', 9), 'quebec');
	t.equal(next.customers.find(({name}) => name === 'agents')?.weight, 9);
	t.equal(next.customers.length, current.customers.length);
	const removed = mergePartner(current, {...own, services: []}, 'quebec');
	t.strictSame(
		removed.services.map(({name}) => name),
		['internships'],
	);
});

// Guards against each way to reach an item of the other partner.
await t.test('a change of another partner is forbidden and named', async (t) => {
	const current = await both();
	const own = await load(`${EXAMPLE}/quebec`, 'quebec');
	const lima = await load(`${EXAMPLE}/lima`, 'lima');
	const stolen = <Item>(item: Item): Item & Readonly<{partner: string}> => ({...item, partner: 'quebec'});
	const cases: ReadonlyArray<Readonly<{name: string; item: string; requested: Declarations}>> = [
		{name: 'change', item: 'customers/universities', requested: withCustomer(own, 'universities', 'lima', 9)},
		{name: 'take over', item: 'customers/universities', requested: withCustomer(own, 'universities', 'quebec', 9)},
		{name: 'add', item: 'customers/new', requested: withCustomer(own, 'new', 'lima', 1)},
		{
			name: 'guarantee of its customer',
			item: 'guarantees/more',
			requested: {...own, guarantees: [{...lima.guarantees[0]!, name: 'more'}]},
		},
		{name: 'rack', item: 'racks/lima-rack-1', requested: {...own, racks: [stolen(lima.racks[0]!)]}},
		{name: 'job class', item: 'jobClasses/offer', requested: {...own, jobClasses: [stolen(lima.jobClasses[0]!)]}},
		{name: 'service', item: 'services/internships', requested: {...own, services: [stolen(lima.services[0]!)]}},
		{name: 'token', item: 'tokens/lima-operator', requested: {...own, tokens: [stolen(operatorOf('lima'))]}},
		{name: 'new token', item: 'tokens/x', requested: {...own, tokens: [{...operatorOf('lima'), name: 'x'}]}},
		{
			name: 'pool without a share',
			item: 'pools/other',
			requested: {...own, pools: [{...own.pools[0]!, name: 'other', shares: [{partner: 'lima', share: 1}]}]},
		},
	];
	for (const {name, item, requested} of cases) {
		t.throws(
			() => prepareDeclarations(current, operatorOf('quebec'), requested),
			{code: 'forbidden', message: new RegExp(item, 'v')},
			name,
		);
	}
});

// Guards against a split in force to which one partner has not agreed.
await t.test('the split of a shared pool changes when both declare it', async (t) => {
	const current = await both();
	const quebec = await load(`${EXAMPLE}/quebec`, 'quebec');
	const lima = await load(`${EXAMPLE}/lima`, 'lima');
	const withShare = (declarations: Declarations, share: number): Declarations => ({
		...declarations,
		pools: declarations.pools.map((pool) => ({
			...pool,
			shares: [
				{partner: 'quebec', share},
				{partner: 'lima', share: 1 - share},
			],
		})),
	});
	const shareOf = ({pools: [pool]}: Declarations) => pool!.shares.find(({partner}) => partner === 'quebec')?.share;

	const proposed = prepareDeclarations(current, operatorOf('quebec'), withShare(quebec, 0.75));
	t.equal(shareOf(proposed), 0.5, 'a proposal alone changes nothing');
	t.strictSame(
		proposed.pools[0]?.proposals?.map(({partner}) => partner),
		['quebec'],
	);
	const other = prepareDeclarations(proposed, operatorOf('lima'), withShare(lima, 0.25));
	t.equal(shareOf(other), 0.5, 'two different proposals change nothing');
	const agreed = prepareDeclarations(other, operatorOf('lima'), withShare(lima, 0.75));
	t.equal(shareOf(agreed), 0.75);
	t.strictSame(agreed.pools[0]?.agreedBy, ['lima', 'quebec']);
	t.strictSame(agreed.pools[0]?.proposals, []);
	const withdrawn = prepareDeclarations(proposed, operatorOf('quebec'), quebec);
	t.strictSame(withdrawn, current, 'declaring the terms in force withdraws the proposal');
});

// Guards against a partner whose racks are shared on terms that it never declared.
await t.test('racks need the terms of their pool', async (t) => {
	const quebec = await load(`${EXAMPLE}/quebec`, 'quebec', 'lima');
	const lima = await load(`${EXAMPLE}/lima`, 'lima');
	const first = {
		...mergePartner({...quebec, customers: [], guarantees: [], services: [], pools: [], racks: []}, quebec, 'quebec'),
	};
	const other = {...lima, pools: [{...lima.pools[0]!, shares: [{partner: 'lima', share: 1}]}]};
	t.throws(() => prepareDeclarations(first, operatorOf('lima'), other), {
		code: 'bad-request',
		message: /partner "lima" has not declared the terms of pool "shared" in force/v,
	});
});

// Guards against a request that stores what `validate` refuses, and against a partner that locks itself out.
await t.test('requests pass the schema of the documents', async (t) => {
	const current = await both();
	const own = await load(`${EXAMPLE}/quebec`, 'quebec');
	const bodies: ReadonlyArray<Readonly<{name: string; body: unknown; says: RegExp}>> = [
		{name: 'not an object', body: [], says: /expected object/v},
		{name: 'unknown key', body: {...own, gpus: []}, says: /gpus/v},
		{name: 'missing collection', body: {...own, tokens: undefined}, says: /tokens is not set/v},
		{
			name: 'wrong type',
			body: {...own, customers: [{...own.customers[0], weight: '4'}]},
			says: /customers.0.weight is "4"/v,
		},
		{name: 'bad hash', body: {...own, tokens: [{...operatorOf('quebec'), sha256: 'zz'}]}, says: /tokens.0.sha256/v},
		{name: 'prototype key', body: JSON.parse('{"__proto__": {"customers": []}}'), says: /__proto__/v},
	];
	for (const {name, body, says} of bodies) {
		t.throws(() => parseDeclarations(body), {code: 'bad-request', message: says}, name);
	}

	t.strictSame(parseDeclarations(structuredClone(own)), own, 'valid declarations pass unchanged');
	const whole: ReadonlyArray<Readonly<{name: string; requested: Declarations; says: RegExp}>> = [
		{name: 'duplicate', requested: {...own, services: [...own.services, ...own.services]}, says: /services\/listings/v},
		{name: 'reference', requested: {...own, jobClasses: []}, says: /job class "match" is not declared/v},
		{name: 'no operator token', requested: {...own, tokens: []}, says: /no operator token of partner quebec/v},
		{
			name: 'hash of another token',
			requested: {...own, tokens: [...own.tokens, {...operatorOf('quebec'), name: 'x'}]},
			says: /same sha256/v,
		},
	];
	for (const {name, requested, says} of whole) {
		t.throws(() => prepareDeclarations(current, operatorOf('quebec'), requested), {message: says}, name);
	}
});

// Guards against a partner that guarantees more of a shared pool to its customers than its share.
await t.test('guarantees stay within the share', async (t) => {
	const current = await both();
	const own = await load(`${EXAMPLE}/quebec`, 'quebec');
	const withCount = (count: number): Declarations => ({
		...own,
		guarantees: [{...own.guarantees[0]!, accelerators: 8, count}],
	});
	t.ok(prepareDeclarations(current, operatorOf('quebec'), withCount(16)), 'half of 256 accelerators');
	t.throws(() => prepareDeclarations(current, operatorOf('quebec'), withCount(17)), {
		code: 'bad-request',
		message: /guarantees\/agents-reels: .* on pool shared hold 136 accelerators; its share is 128/v,
	});
});
