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

// Guards against the loss of all instances or endpoints to an empty or partial answer of the list.
await t.test('an answer that lost more than half of a role removes nothing of it', async (t) => {
	t.equal(mergeListing(known, []).length, 69);
	t.equal(mergeListing(known, known.slice(0, 20)).length, 69);
	const withoutEndpoints = known.filter(({role}) => role !== 'endpoint');
	t.equal(mergeListing(known, withoutEndpoints).length, 69, 'one role is missing, more than half of the list is there');
});

// Guards against an instance or endpoint that stays listed for good.
await t.test('a plausible answer removes and adds entries', async (t) => {
	const reading = [...listed('instance', 8), ...listed('endpoint', 31), ...listed('worker', 20)];
	t.same(
		mergeListing(known, reading).map(({id}) => id),
		reading.map(({id}) => id),
	);
});
