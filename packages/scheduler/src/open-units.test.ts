import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {createActiveJob, partOf, readyParts, type ActiveJob} from './active-job.js';
import {MAX_OPEN_UNITS, OPEN_UNITS_AT_FIRST, OPEN_UNITS_PER_JOB} from './constants.js';
import {progressOf, recordEnd} from './job-outcome.js';
import {openWaitingUnits} from './open-units.js';
import {newActiveJob} from './test/active-job.js';
import {createTurns} from './turns.js';

const finish = (activeJob: ActiveJob, step: number, index: number) => {
	const part = partOf(activeJob, 0, step, index)!;
	return recordEnd(activeJob, part, {workerId: 'w', index, run: part.run + 1, how: 'done', checkpoint: ''}, 5);
};

const restore = (activeJob: ActiveJob) =>
	createActiveJob({
		job: activeJob.job,
		progress: progressOf(activeJob),
		progressRevision: 1,
		jobRevision: 1,
		isCancelled: false,
		nowMs: 0,
	});

// Guards against a leader that ends by memory while it takes over large jobs: 20 jobs of 5,000 units.
await t.test('only units that may start soon have parts', async (t) => {
	const jobs = Array.from({length: 20}, (_value, index) =>
		newActiveJob({steps: [newStep({count: 5000})], acceptedMs: 20 - index}),
	);
	const opened = () => jobs.reduce((sum, {parts}) => sum + parts.size, 0);
	t.equal(opened(), 20 * OPEN_UNITS_AT_FIRST);
	t.ok(openWaitingUnits(jobs));
	t.equal(jobs.at(-1)!.parts.size, OPEN_UNITS_PER_JOB, 'the oldest job comes first');
	t.ok(opened() <= MAX_OPEN_UNITS + 20 * OPEN_UNITS_AT_FIRST);
	const before = opened();
	openWaitingUnits(jobs);
	t.equal(opened(), before, 'units that wait do not open more');
});

// Guards against a step that counts as complete, or a job as completed, while units without a part remain.
await t.test('a large job completes with its last unit, also over a change of leader', async (t) => {
	const first = newActiveJob({steps: [newStep({count: 300, after: [1]}), newStep({count: 700})]});
	for (let index = 0; index < 650; index += 1) {
		finish(first, 1, index);
	}

	const second = restore(first);
	t.equal(readyParts(second).length, 0);
	openWaitingUnits([second]);
	t.same(
		readyParts(second).map(({key}) => key),
		Array.from({length: 50}, (_value, index) => `0.1.${650 + index}`),
	);
	// In another order than that of the units.
	for (let index = 699; index >= 650; index -= 1) {
		t.equal(second.outcome, undefined);
		finish(second, 1, index);
	}

	for (let index = 299; index >= 0; index -= 1) {
		t.equal(second.outcome, undefined);
		finish(second, 0, index);
	}

	t.equal(second.outcome, 'completed');
	t.equal(partOf(second, 0, 0, 300), undefined, 'a unit that the job does not have');
});

// Guards against units that are opened behind a step that is not ready and take the place of those that could start.
await t.test('units of a step that waits do not keep others from being opened', async (t) => {
	const activeJob = newActiveJob({steps: [newStep({count: 4000, after: [1]}), newStep({count: 100})]});
	openWaitingUnits([activeJob]);
	t.equal(readyParts(activeJob).length, 100);
});

// Guards against gangs and disruption budgets that are judged by some of their units only.
await t.test('gangs and units that run until they are stopped have all their parts', async (t) => {
	t.equal(newActiveJob({steps: [newStep({count: 500, gang: true})]}).parts.get('0.0.gang')!.indexes.length, 500);
	t.equal(newActiveJob({steps: [newStep({count: 500, longRunning: true, maxAbsent: 1})]}).parts.size, 500);
});

// Guards against a takeover that keeps the renewal of the lease waiting.
await t.test('a long loop lets other tasks run', async (t) => {
	const takeTurn = createTurns(0);
	let turns = 0;
	const timer = setInterval(() => {
		turns += 1;
	}, 1);
	const endMs = performance.now() + 50;
	while (performance.now() < endMs) {
		await takeTurn();
	}

	clearInterval(timer);
	t.ok(turns > 1);
});
