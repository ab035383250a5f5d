import t from 'tap';
import {startSpreadMs, termOfRun} from './gangs.js';
import {newGang} from './test/active-job.js';

// Guards against a spread that is reported for single units, or before all members of the gang are accepted.
await t.test('the spread of the starts of a gang is known when the last member is accepted', async (t) => {
	t.equal(startSpreadMs(newGang([{acceptedMs: 1000}, {acceptedMs: 1250}])), 250);
	t.equal(startSpreadMs(newGang([{acceptedMs: 1000}])), undefined);
	t.equal(startSpreadMs(newGang([{acceptedMs: 1000}], 2)), undefined);
	t.equal(startSpreadMs(newGang([{acceptedMs: 1000}, {acceptedMs: undefined, phase: 'starting'}])), undefined);
});

// Guards against the last run number of a term that counts for the next one.
await t.test('the number of a run tells its term', async (t) => {
	t.same(
		[1, 1000, 1001, 2000].map((run) => termOfRun(run)),
		[1, 1, 2, 2],
	);
});
