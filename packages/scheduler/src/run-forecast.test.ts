import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {partOf, type Placement} from './active-job.js';
import {createLeaderState, type PlacedUnit} from './leader-state.js';
import {DEFAULT_POLICY} from './policy.js';
import {expectedEndMs} from './run-forecast.js';
import {newActiveJob, newPlacementOn} from './test/active-job.js';

const state = createLeaderState(DEFAULT_POLICY);

const newRun = (estimateMs: number, change: Partial<Placement>): PlacedUnit => {
	const activeJob = newActiveJob({steps: [newStep({estimateMs})]});
	return {activeJob, part: partOf(activeJob, 0, 0, 0)!, placement: newPlacementOn('w0', change)};
};

// Guards against a short run that is moved off a draining worker, or evicted, shortly before its end: its percentage was
// reported long ago, and the time since then was taken for a lack of progress.
await t.test('the time since the last report does not make a run seem slower', async (t) => {
	const run = newRun(2600, {percent: 23, reportedMs: 600, progressMs: 600});
	for (const nowMs of [600, 1400, 2000]) {
		t.ok(Math.abs(expectedEndMs(state, run, nowMs) - 2609) < 10, `at ${nowMs} ms`);
	}
});

// Guards against a run that resumed at a high percentage being expected to end at once.
await t.test('a run that began beyond zero is projected from its recent progress', async (t) => {
	const resumed = newRun(10_000, {
		isFullRun: false,
		percent: 70,
		reportedMs: 2000,
		window: {base: {atMs: 1000, percent: 60}, newest: {atMs: 2000, percent: 70}},
	});
	const endMs = expectedEndMs(state, resumed, 2500);
	t.ok(endMs > 4500 && endMs < 5500, `expected at ${endMs} ms`);

	const adopted = newRun(10_000, {isFullRun: false, percent: 70, reportedMs: 100, window: undefined});
	t.equal(expectedEndMs(state, adopted, 100), 3100, 'the estimate counts for the rest of the work');
});

await t.test('a run without progress is expected to take its estimate, or longer when that is over', async (t) => {
	const run = newRun(1000, {});
	t.equal(expectedEndMs(state, run, 500), 1000);
	t.equal(expectedEndMs(state, run, 2000), 2400);
});

await t.test('long-running work has no expected end', async (t) => {
	const activeJob = newActiveJob({steps: [newStep({longRunning: true})]});
	const run = {activeJob, part: partOf(activeJob, 0, 0, 0)!, placement: newPlacementOn('w0')};
	t.equal(expectedEndMs(state, run, 0), Number.POSITIVE_INFINITY);
});
