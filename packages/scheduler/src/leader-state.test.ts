import {newJob, newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import type {Step} from '@bergamotgauge/jobs';
import t from 'tap';
import {createJobRun, partOf} from './job-run.js';
import {createLeaderState, isNearData} from './leader-state.js';
import {newWorker} from './test/world.js';

/** Whether a gang of two with one unit in each of the racks is where it runs at its usual speed. */
const isNear = (racks: readonly string[], change: Partial<Step>): boolean => {
	const job = newJob({steps: [newStep({count: 2, gang: true, ...change})]});
	const run = createJobRun({
		job,
		progress: undefined,
		progressRevision: 0,
		jobRevision: 1,
		isCancelled: false,
		nowMs: 0,
	});
	const state = createLeaderState();
	const part = partOf(run, 0, 0, 0)!;
	for (const [index, rack] of racks.entries()) {
		const id = `w${index}`;
		state.directory.set(id, newWorker(id, {rack}));
		part.placements.push({
			workerId: id,
			index,
			run: 1,
			phase: 'running',
			startedMs: 0,
			acceptedMs: 0,
			stopAcceptedMs: undefined,
			missedReports: 0,
			percent: 0,
			isWhole: true,
			progressMs: 0,
			reportedMs: 0,
			window: undefined,
			recentFigure: undefined,
			pace: 100,
		});
	}

	return isNearData(state, run, part);
};

// Guards against run times across racks, three times as long, that lengthen what is expected of all later units.
await t.test('a run away from its data or across racks does not tell the usual run time', async (t) => {
	t.equal(isNear(['r1-1', 'r1-2'], {sameRack: true}), false);
	t.equal(isNear(['r1-1', 'r1-1'], {sameRack: true}), true);
	t.equal(isNear(['r1-1', 'r1-2'], {}), true);
	t.equal(isNear(['r1-1', 'r1-2'], {dataRack: 'r1-1'}), false);
	t.equal(isNear(['r1-1', 'r1-1'], {dataRack: 'r1-1'}), true);
});
