import type {Declarations} from '@bergamotgauge/model';
import t from 'tap';
import {EMPTY_DECLARATIONS, threeWayDiff} from './index.js';

const withCustomers = (weights: Readonly<Record<string, number>>): Declarations => ({
	...EMPTY_DECLARATIONS,
	customers: Object.entries(weights).map(([name, weight]) => ({
		name,
		weight,
		partner: 'quebec',
		quota: {accelerators: 8, queuedJobs: 10, concurrentRequests: 10, queuedRequests: 10},
		labels: {},
	})),
});

// Guards against a difference that reports the wrong side as changed: an operator with a refused change would then revert the other operator's change.
await t.test('each difference reports which side changed the item', async (t) => {
	const base = withCustomers({kept: 1, theirs: 1, mine: 1, both: 1, alike: 1, removed: 1});
	const theirs = withCustomers({kept: 1, theirs: 2, mine: 1, both: 2, alike: 2, removed: 2});
	const mine = withCustomers({kept: 1, theirs: 1, mine: 3, both: 3, alike: 2, added: 1});
	const kinds = Object.fromEntries(threeWayDiff(base, theirs, mine).map(({name, kind}) => [name, kind]));
	t.same(kinds, {
		theirs: 'theirs',
		mine: 'mine',
		both: 'conflicting',
		alike: 'same',
		removed: 'conflicting',
		added: 'mine',
	});
});
