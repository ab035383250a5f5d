import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {markEnded, partOf, type ActiveJob} from './active-job.js';
import type {LeaderState} from './leader-state.js';
import {partIdsByWorker} from './roster.js';
import {newActiveJob, newPlacementOn} from './test/active-job.js';

/** Jobs that count how often all of them are read. */
class CountedJobs extends Map<string, ActiveJob> {
	reads = 0;

	override values() {
		this.reads += 1;
		return super.values();
	}
}

/** A job with one unit on w1 and one that has ended on w2. */
const createState = (isStored: boolean) => {
	const activeJob = newActiveJob({steps: [newStep({count: 2})]});
	partOf(activeJob, 0, 0, 0)!.placements.push(newPlacementOn('w1'));
	markEnded(partOf(activeJob, 0, 0, 1)!, {workerId: 'w2', startedMs: 5, index: 1, run: 1});
	activeJob.changes = 1;
	activeJob.storedChanges = isStored ? 1 : 0;
	const activeJobs = new CountedJobs([[activeJob.job.id, activeJob]]);
	return {activeJobs, state: {activeJobs} as unknown as LeaderState, jobId: activeJob.job.id};
};

const WORKER_IDS = new Set(['w1', 'w2', 'w3']);

// Guards against a later leader that starts a unit again which runs on a worker without orders, or has ended there unstored.
await t.test('the parts of each worker are those placed there and those with unstored ends there', async (t) => {
	const {state, jobId} = createState(false);
	const byWorker = partIdsByWorker(state, WORKER_IDS);
	t.same(byWorker.get('w1'), new Set([`${jobId}.0.0.0`]));
	t.same(byWorker.get('w2'), new Set([`${jobId}.0.0.1`]));
	t.same(byWorker.get('w3'), new Set());
	t.same(partIdsByWorker(createState(true).state, WORKER_IDS).get('w2'), new Set(), 'a stored end is left out');
	t.same([...partIdsByWorker(state, new Set(['w1'])).keys()], ['w1'], 'only the workers that were asked for');
});

// Guards against a leader that is held up for hundreds of milliseconds by its roster when many workers drain at the same
// time, since all jobs were read once for each of them.
await t.test('the jobs are read as often for many workers as for one', async (t) => {
	const {activeJobs, state} = createState(false);
	partIdsByWorker(state, new Set(['w1']));
	const readsForOne = activeJobs.reads;
	activeJobs.reads = 0;
	partIdsByWorker(state, new Set(Array.from({length: 100}, (_, index) => `w${index}`)));
	t.equal(activeJobs.reads, readsForOne);
});
