import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import type {Step} from '@bergamotgauge/jobs';
import {protectedParts} from './disruption-budget.js';
import {createLeaderState} from './leader-state.js';
import {DEFAULT_POLICY} from './policy.js';
import {newActiveJob, newPlacementOn} from './test/active-job.js';

/** Number of protected units of a step whose units are at the given percentages; `undefined` stands for an absent unit. */
const countProtected = (percents: ReadonlyArray<number | undefined>, change: Partial<Step>): number => {
	const activeJob = newActiveJob({steps: [newStep({count: percents.length, longRunning: true, ...change})]});
	for (const [index, part] of [...activeJob.parts.values()].entries()) {
		const percent = percents[index];
		part.placements = percent === undefined ? [] : [newPlacementOn('w', {percent})];
	}

	const state = createLeaderState(DEFAULT_POLICY);
	state.activeJobs.set(activeJob.job.id, activeJob);
	return protectedParts(state).size;
};

// Guards against stopping more units of a long-running step at the same time than its caller allows to be absent.
await t.test('as many units may be stopped as the disruption budget allows', async (t) => {
	t.equal(countProtected([100, 100, 100], {maxAbsent: 1}), 2);
	t.equal(countProtected([100, 100, 100], {maxAbsent: 0}), 3);
});

await t.test('units that are absent or still starting use up the disruption budget', async (t) => {
	t.equal(countProtected([100, 100, undefined], {maxAbsent: 1}), 2);
	t.equal(countProtected([100, 100, 40], {maxAbsent: 1}), 2);
	t.equal(countProtected([100, 100, undefined], {maxAbsent: 2}), 1);
});

await t.test('steps without a disruption budget may be stopped', async (t) => {
	t.equal(countProtected([100, 100], {}), 0);
	t.equal(countProtected([50, 50], {longRunning: false, maxAbsent: 0}), 0);
});

/** State and parts of a step whose units are serving on the given workers. */
const servingOn = (workerIds: readonly string[], maxAbsent: number) => {
	const activeJob = newActiveJob({steps: [newStep({count: workerIds.length, longRunning: true, maxAbsent})]});
	const parts = [...activeJob.parts.values()];
	for (const [index, part] of parts.entries()) {
		part.placements = [newPlacementOn(workerIds[index]!, {percent: 100})];
	}

	const state = createLeaderState(DEFAULT_POLICY);
	state.activeJobs.set(activeJob.job.id, activeJob);
	/** Positions of the units that may be stopped. */
	const stoppable = () => {
		const protectedNow = protectedParts(state);
		return parts.flatMap((part, index) => (protectedNow.has(part) ? [] : [index]));
	};

	return {state, stoppable};
};

// Guards against a drained machine that stays protected because the budget goes to units that nobody wants to stop.
await t.test('the disruption budget goes to drained workers first, one after the other', async (t) => {
	const {state, stoppable} = servingOn(['w-a', 'w-b', 'w-c', 'w-a', 'w-b', 'w-c'], 3);
	t.same(stoppable(), [0, 1, 2]);
	state.maintenanceDrains.deadlineByWorker = new Map([
		['w-c', 9000],
		['w-b', 1000],
	]);
	t.same(stoppable(), [1, 2, 5]);
});

// Guards against a second machine that goes down while the reports do not show yet that the first one has.
await t.test('units on a worker that an order may end use up the disruption budget', async (t) => {
	const {state, stoppable} = servingOn(['w-a', 'w-b', 'w-c'], 1);
	state.maintenanceDrains.deadlineByWorker = new Map([['w-b', 1000]]);
	state.orderedWorkers.add('w-c');
	t.same(stoppable(), [2]);
	state.orderedWorkers.delete('w-c');
	t.same(stoppable(), [1]);
});
