import t from 'tap';
import type {TaskOutcome} from './types.js';
import {testBundle, testJob, testRacks, testView, withQuarantines} from './test/view.js';
import {planPass, planQuarantines} from './index.js';

const MINUTE_MS = 60_000;

const outcome = (worker: string, job: string, isSuccess = false, atMs = MINUTE_MS): TaskOutcome => ({
	worker,
	job,
	isSuccess,
	atMs,
});

const base = {...testView(testBundle({racks: testRacks(1, 2)})), nowMs: 2 * MINUTE_MS};

const fails = (worker: string): TaskOutcome[] => ['x', 'y', 'z'].map((job) => outcome(worker, `${worker}-${job}`));

// Guards against a quarantine because of one faulty job, or of failures that a success followed.
await t.test('evidence comes from several jobs', async (t) => {
	const cases: ReadonlyArray<readonly [string, readonly TaskOutcome[], boolean]> = [
		['three jobs', fails('r0w0'), true],
		['one job three times', [1, 2, 3].map(() => outcome('r0w0', 'x')), false],
		['a success after the failures', [...fails('r0w0'), outcome('r0w0', 'ok', true, MINUTE_MS + 1)], false],
		[
			'jobs that fail everywhere',
			['x', 'y', 'z'].flatMap((job) => ['r0w0', 'r0w1', 'gone'].map((worker) => outcome(worker, job))),
			false,
		],
	];
	for (const [name, taskOutcomes, isQuarantined] of cases) {
		t.equal(planQuarantines({...base, taskOutcomes}).length, Number(isQuarantined), name);
	}
});

// Guards against a faulty release that puts the whole pool into quarantine.
await t.test('at most the capped share is quarantined', async (t) => {
	const bundle = testBundle({racks: testRacks(4, 8)});
	const taskOutcomes = bundle.racks.flatMap(({workers}) => workers.flatMap(({name}) => fails(name)));
	const changes = planQuarantines({...base, bundle, taskOutcomes});
	t.equal(changes.flatMap(({quarantines}) => quarantines).length, 3);
});

// Guards against workers that never return, and against probation that risks a gang or at-most-once work.
await t.test('workers return by probation', async (t) => {
	const [change] = planQuarantines({...base, taskOutcomes: fails('r0w0')});
	const quarantined = withQuarantines(base, 'r0', change!.quarantines);
	const jobs = [
		testJob('j', ['a', 'non-preemptible', 16]),
		testJob('k', ['a', 'once', 8]),
		testJob('l', ['a', 'non-preemptible', 8]),
	];
	t.match(planPass({...quarantined, jobs: jobs.slice(0, 1)}), [{kind: 'wait'}]);
	const later = {...quarantined, nowMs: base.nowMs + 16 * MINUTE_MS};
	const [probation] = planQuarantines(later);
	t.match(probation, {quarantines: [{worker: 'r0w0', state: 'probation'}]});
	const trial = withQuarantines(later, 'r0', probation!.quarantines);
	t.match(planPass({...trial, jobs: jobs.slice(0, 1)}), [{kind: 'wait'}], 'no gang over several workers');
	t.match(planPass({...trial, jobs: jobs.slice(1, 2)}), [{placement: {blocks: [{worker: 'r0w1'}]}}]);
	const after = {...trial, nowMs: later.nowMs + MINUTE_MS};
	const success = planQuarantines({...after, taskOutcomes: [outcome('r0w0', 'l', true, after.nowMs)]});
	t.match(success, [{rack: 'r0', quarantines: []}]);
	const failure = planQuarantines({...after, taskOutcomes: [outcome('r0w0', 'l', false, after.nowMs)]});
	t.match(failure, [{quarantines: [{state: 'quarantined', untilMs: after.nowMs + 30 * MINUTE_MS}]}]);
});

// Guards against a healthy job that is ended because of failures of a faulty worker.
await t.test('failures on quarantined workers do not count against the job', async (t) => {
	const job = testJob('j', ['a', 'non-preemptible', 8], {failedOn: ['r0w0', 'gone', 'other']});
	const quarantines = [{worker: 'r0w0', state: 'quarantined' as const, untilMs: 1e9, jobs: []}];
	t.match(planPass({...base, jobs: [job]}), [{kind: 'end'}]);
	t.match(planPass({...withQuarantines(base, 'r0', quarantines), jobs: [job]}), [{kind: 'place'}]);
});
