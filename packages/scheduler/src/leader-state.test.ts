import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import type {Step} from '@bergamotgauge/jobs';
import t from 'tap';
import {partOf} from './active-job.js';
import {createLeaderState, isDataLocal} from './leader-state.js';
import {DEFAULT_POLICY} from './policy.js';
import {newActiveJob, newPlacementOn} from './test/active-job.js';
import {newWorker} from './test/cluster.js';

/** Whether a gang of two, with one unit in each of the racks, has data locality and so runs at its usual speed. */
const isLocal = (racks: readonly string[], change: Partial<Step>): boolean => {
	const activeJob = newActiveJob({steps: [newStep({count: 2, gang: true, ...change})]});
	const state = createLeaderState(DEFAULT_POLICY);
	const part = partOf(activeJob, 0, 0, 0)!;
	for (const [index, rack] of racks.entries()) {
		const id = `w${index}`;
		state.directory.set(id, newWorker(id, {rack}));
		part.placements.push(newPlacementOn(id, {index}));
	}

	return isDataLocal(state, activeJob, part);
};

// Guards against remote runs, which take three times as long, distorting the expected run time of later units.
await t.test('a run without data locality or across racks does not count towards the expected run time', async (t) => {
	t.equal(isLocal(['r1-1', 'r1-2'], {sameRack: true}), false);
	t.equal(isLocal(['r1-1', 'r1-1'], {sameRack: true}), true);
	t.equal(isLocal(['r1-1', 'r1-2'], {}), true);
	t.equal(isLocal(['r1-1', 'r1-2'], {dataRack: 'r1-1'}), false);
	t.equal(isLocal(['r1-1', 'r1-1'], {dataRack: 'r1-1'}), true);
});
