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

const loadBothPartners = async (): Promise<Declarations> =>
	prepareDeclarations(undefined, {...operatorOf('*'), partner: '*'}, await load(EXAMPLE, 'quebec', 'lima'));

const withCustomer = (declarations: Declarations, name: string, partner: string, weight: number): Declarations => ({
	...declarations,
	customers: [
		...declarations.customers.filter((customer) => customer.name !== name),
		{...declarations.customers[0]!, name, partner, weight},
	],
});

// Guards against an apply that replaces or changes items of the other partner.
await t.test('an apply replaces only the items of its own partner', async (t) => {
	const current = await loadBothPartners();
	const own = await load(`${EXAMPLE}/quebec`, 'quebec');
	t.strictSame(
		prepareDeclarations(current, operatorOf('quebec'), own),
		current,
		'a request without the items of other partners keeps them',
	);
	t.strictSame(
		prepareDeclarations(current, operatorOf('quebec'), current),
		current,
		'a request may repeat the items of other partners unchanged',
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

// Guards against each way in which a request could change an item of the other partner.
await t.test("a change of another partner's item is forbidden and names the item", async (t) => {
	const current = await loadBothPartners();
	const own = await load(`${EXAMPLE}/quebec`, 'quebec');
	const lima = await load(`${EXAMPLE}/lima`, 'lima');
	const withOwnPartner = <Item>(item: Item): Item & Readonly<{partner: string}> => ({...item, partner: 'quebec'});
	const cases: ReadonlyArray<Readonly<{name: string; item: string; requested: Declarations}>> = [
		{name: 'change', item: 'customers/universities', requested: withCustomer(own, 'universities', 'lima', 9)},
		{name: 'take over', item: 'customers/universities', requested: withCustomer(own, 'universities', 'quebec', 9)},
		{name: 'add', item: 'customers/new', requested: withCustomer(own, 'new', 'lima', 1)},
		{
			name: 'guarantee of its customer',
			item: 'guarantees/more',
			requested: {...own, guarantees: [{...lima.guarantees[0]!, name: 'more'}]},
		},
		{name: 'rack', item: 'racks/lima-rack-1', requested: {...own, racks: [withOwnPartner(lima.racks[0]!)]}},
		{
			name: 'job class',
			item: 'jobClasses/offer',
			requested: {...own, jobClasses: [withOwnPartner(lima.jobClasses[0]!)]},
		},
		{name: 'service', item: 'services/internships', requested: {...own, services: [withOwnPartner(lima.services[0]!)]}},
		{name: 'token', item: 'tokens/lima-operator', requested: {...own, tokens: [withOwnPartner(operatorOf('lima'))]}},
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

// Guards against pool shares that take effect although one partner has not agreed to them.
await t.test('the shares of a pool change when both partners declare them', async (t) => {
	const current = await loadBothPartners();
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
await t.test("racks require that their partner has declared the pool's terms", async (t) => {
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

// Guards against storing requests that `validate` would refuse, and against a partner that removes its last operator token.
await t.test('requests are checked against the document schemas', async (t) => {
	const current = await loadBothPartners();
	const own = await load(`${EXAMPLE}/quebec`, 'quebec');
	const schemaCases: ReadonlyArray<Readonly<{name: string; body: unknown; expectedMessage: RegExp}>> = [
		{name: 'not an object', body: [], expectedMessage: /expected object/v},
		{name: 'unknown key', body: {...own, gpus: []}, expectedMessage: /gpus/v},
		{name: 'missing collection', body: {...own, tokens: undefined}, expectedMessage: /tokens is not set/v},
		{
			name: 'wrong type',
			body: {...own, customers: [{...own.customers[0], weight: '4'}]},
			expectedMessage: /customers.0.weight is "4"/v,
		},
		{
			name: 'bad hash',
			body: {...own, tokens: [{...operatorOf('quebec'), sha256: 'zz'}]},
			expectedMessage: /tokens.0.sha256/v,
		},
		{name: 'prototype key', body: JSON.parse('{"__proto__": {"customers": []}}'), expectedMessage: /__proto__/v},
	];
	for (const {name, body, expectedMessage} of schemaCases) {
		t.throws(() => parseDeclarations(body), {code: 'bad-request', message: expectedMessage}, name);
	}

	t.strictSame(parseDeclarations(structuredClone(own)), own, 'valid declarations pass unchanged');
	const mergeCases: ReadonlyArray<Readonly<{name: string; requested: Declarations; expectedMessage: RegExp}>> = [
		{
			name: 'duplicate',
			requested: {...own, services: [...own.services, ...own.services]},
			expectedMessage: /services\/listings/v,
		},
		{name: 'reference', requested: {...own, jobClasses: []}, expectedMessage: /job class "match" is not declared/v},
		{
			name: 'no operator token',
			requested: {...own, tokens: []},
			expectedMessage: /no operator token of partner quebec/v,
		},
		{
			name: 'hash of another token',
			requested: {...own, tokens: [...own.tokens, {...operatorOf('quebec'), name: 'x'}]},
			expectedMessage: /same sha256/v,
		},
	];
	for (const {name, requested, expectedMessage} of mergeCases) {
		t.throws(() => prepareDeclarations(current, operatorOf('quebec'), requested), {message: expectedMessage}, name);
	}
});

// Guards against a partner that guarantees its customers more of a shared pool than its share.
await t.test("guarantees must fit into the partner's share", async (t) => {
	const current = await loadBothPartners();
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
