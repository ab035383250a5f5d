import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import {createMetrics} from '@bergamotgauge/telemetry';
import t from 'tap';
import {partOf} from '../active-job.js';
import {createLeaderState, placedByWorker} from '../leader-state.js';
import {DEFAULT_POLICY} from '../policy.js';
import {newActiveJob, newPlacementOn} from '../test/active-job.js';
import {createRecordedLog} from '../test/recorded-log.js';
import {createSharedRuns, kindOf} from './observe-shared.js';

/** A job with one unit on the worker, as placed. */
const place = (id: string, workerId: string, image: string) => {
	const activeJob = newActiveJob({id, steps: [newStep({image})]});
	const part = partOf(activeJob, 0, 0, 0)!;
	const placement = newPlacementOn(workerId);
	part.placements.push(placement);
	return {activeJob, part, placement};
};

// Guards against a harmful neighbour that operators cannot see, and against a unit that counts as its own neighbour.
await t.test('the slow-down of shared and of lone runs is reported with the pairs', async (t) => {
	const state = createLeaderState({...DEFAULT_POLICY, interference: 'observed'});
	const {log, lines} = createRecordedLog();
	let nowMs = 0;
	const sharedRuns = createSharedRuns({state, log, metrics: createMetrics(), now: () => nowMs});
	const render = place('a', 'w1', 'render');
	const index = place('b', 'w1', 'index');
	const lone = place('c', 'w2', '');
	for (const {activeJob} of [render, index, lone]) {
		state.activeJobs.set(activeJob.job.id, activeJob);
	}

	state.placementIndex.byWorker = placedByWorker(state);
	for (let run = 0; run < 8; run += 1) {
		sharedRuns.observe(render, 1.6);
		sharedRuns.observe(index, 1);
		sharedRuns.observe(lone, 1.1);
	}

	sharedRuns.report();
	const fields = {known: '2', harmful: '1', sharedPercent: '130', alonePercent: '110'};
	t.match(lines, [{event: 'interference-pairs', fields}]);
	nowMs = 5000;
	sharedRuns.report();
	t.equal(lines.length, 1, 'nothing has changed');
	t.equal(kindOf(lone.activeJob, lone.part), lone.activeJob.job.queue, 'work without an image is told by its queue');
});
