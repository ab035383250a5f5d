import t from 'tap';
import {GANG_PROGRESS_MS} from './constants.js';
import {gangStateOf, startSpreadMs, termOfRun} from './gangs.js';
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

const IDLE = {percent: 0, reportedMs: GANG_PROGRESS_MS};

// Guards against members that wait because nobody compares the placements of a gang with its members.
await t.test('a gang without one of its members is incomplete when no worker can have it', async (t) => {
	t.equal(gangStateOf(newGang([{}], 2), false), 'incomplete');
	t.equal(gangStateOf(newGang([{percent: 50}], 2), false), 'incomplete');
	t.equal(gangStateOf(newGang([{}, {phase: 'stopping'}]), false), 'incomplete');
	t.equal(gangStateOf(newGang([{run: 2}, {run: 1}]), false), 'incomplete', 'the runs differ');
	t.equal(gangStateOf(newGang([{}, {phase: 'starting', acceptedMs: undefined}]), false), 'whole');
	t.equal(gangStateOf(newGang([{phase: 'stopping'}], 2), false), 'whole', 'it is being stopped');
	t.equal(gangStateOf({...newGang([{}], 2), isDone: true}, false), 'whole', 'the others end by themselves');
});

// Guards against a gang at work that is stopped because one of its workers is slow to respond to a new leader.
await t.test('a gang that makes progress is whole although a worker has not responded', async (t) => {
	t.equal(gangStateOf(newGang([{percent: 3}], 2), true), 'whole');
	t.equal(gangStateOf(newGang([{progressMs: 300, percent: 3}], 2), true), 'whole');
	const resumed = {...newGang([{percent: 40, progressMs: 300}], 2), checkpoint: 'c'};
	t.equal(gangStateOf(resumed, true), 'whole', 'it has worked since its checkpoint');
});

// Guards against a member that waits until a worker that does not respond has lost its lease, far longer than gangs wait.
await t.test('a gang that makes no progress while a worker has not responded is incomplete', async (t) => {
	t.equal(gangStateOf(newGang([{}], 2), true), 'undecided', 'no report shows it yet');
	t.equal(gangStateOf(newGang([{...IDLE, reportedMs: IDLE.reportedMs - 1}], 2), true), 'undecided');
	t.equal(gangStateOf(newGang([IDLE], 2), true), 'incomplete');
	const resumed = {...newGang([{...IDLE, percent: 40}], 2), checkpoint: 'c'};
	t.equal(gangStateOf(resumed, true), 'incomplete', 'its percentage is that of its checkpoint');
});
