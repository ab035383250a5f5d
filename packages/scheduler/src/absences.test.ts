import {newJob, newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import type {Step} from '@bergamotgauge/jobs';
import {protectedParts} from './absences.js';
import {createJobRun, type JobRun, type Placement} from './job-run.js';
import {createLeaderState} from './leader-state.js';

const place = (percent: number): Placement => ({
	workerId: 'w',
	index: 0,
	run: 1,
	phase: 'running',
	startedMs: 0,
	acceptedMs: 0,
	stopAcceptedMs: undefined,
	missedReports: 0,
	percent,
	isWhole: true,
	progressMs: 0,
	reportedMs: 0,
	window: undefined,
	recentFigure: undefined,
	pace: 100,
});

const newRun = (step: Step): JobRun => {
	const job = newJob({steps: [step]});
	return createJobRun({job, progress: undefined, progressRevision: 0, jobRevision: 1, isCancelled: false, nowMs: 0});
};

/** Number of the step's units that may not be stopped, when they are at the given percentages; `undefined` is absent. */
const countProtected = (percents: ReadonlyArray<number | undefined>, change: Partial<Step>): number => {
	const run = newRun(newStep({count: percents.length, longRunning: true, ...change}));
	for (const [index, part] of [...run.parts.values()].entries()) {
		const percent = percents[index];
		part.placements = percent === undefined ? [] : [place(percent)];
	}

	const state = createLeaderState();
	state.runs.set(run.job.id, run);
	return protectedParts(state).size;
};

// Guards against stops that take more units of a lasting step away at the same time than its caller allows.
await t.test('as many units may be stopped as the step can miss', async (t) => {
	t.equal(countProtected([100, 100, 100], {maxAbsent: 1}), 2);
	t.equal(countProtected([100, 100, 100], {maxAbsent: 0}), 3);
});

await t.test('units that are away or only starting count as missed', async (t) => {
	t.equal(countProtected([100, 100, undefined], {maxAbsent: 1}), 2);
	t.equal(countProtected([100, 100, 40], {maxAbsent: 1}), 2);
	t.equal(countProtected([100, 100, undefined], {maxAbsent: 2}), 1);
});

await t.test('steps without a bound may be stopped', async (t) => {
	t.equal(countProtected([100, 100], {}), 0);
	t.equal(countProtected([50, 50], {longRunning: false, maxAbsent: 0}), 0);
});
