import type {ListedInstance, ListedRole} from '@bergamotgauge/model';
import t from 'tap';
import {mergeListing} from './index.js';

const listed = (role: ListedRole, count: number): readonly ListedInstance[] =>
	Array.from({length: count}, (_, index) => ({
		id: `${role}-${index}`,
		role,
		address: '127.0.0.1:1',
		availabilityZone: 'a',
		state: 'live',
		labels: {},
	}));

const known = [...listed('instance', 9), ...listed('endpoint', 30), ...listed('worker', 30)];

// Guards against dropping all instances or endpoints when the list service returns an empty or partial list.
await t.test('a listing that lacks more than half of a role removes none of its entries', async (t) => {
	t.equal(mergeListing(known, []).length, 69);
	t.equal(mergeListing(known, known.slice(0, 20)).length, 69);
	const withoutEndpoints = known.filter(({role}) => role !== 'endpoint');
	t.equal(
		mergeListing(known, withoutEndpoints).length,
		69,
		'one role is missing although more than half of the list is present',
	);
});

// Guards against an instance or endpoint that stays listed permanently.
await t.test('a listing that retains most entries removes and adds entries', async (t) => {
	const listing = [...listed('instance', 8), ...listed('endpoint', 31), ...listed('worker', 20)];
	t.same(
		mergeListing(known, listing).map(({id}) => id),
		listing.map(({id}) => id),
	);
});
