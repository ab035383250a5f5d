import {newStep, newSubmission} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {addressOf, createTestCluster, newWorker, QUEUE, unitOf} from './test/cluster.js';

const UNITS = 700;

// Guards against units of a large job that a new leader never opens, or starts again after their end: parts exist only for
// units that may start soon, and most of the job is done when the leader changes.
await t.test('a job with more units than are opened at once completes over a change of leader', async (t) => {
	const workers = ['w1', 'w2', 'w3'].map((id) => newWorker(id));
	const cluster = createTestCluster(t, workers, () => ({runMs: 500, how: 'done'}));
	const first = cluster.startInstance('i1');
	await cluster.clock.tickAsync(3000);
	const second = cluster.startInstance('i2');
	const submitted = second.scheduler.jobs.submit({
		queue: QUEUE,
		customer: 'acme',
		submission: newSubmission(1, [newStep({count: UNITS, accelerators: 0})]),
	});
	await cluster.clock.tickAsync(3000);
	await submitted;
	const startsAtCrash = cluster.startsOf(unitOf(1, 0));
	first.crash();
	await cluster.clock.tickAsync(20_000);
	const state = second.scheduler.jobs.state(addressOf(1));
	await cluster.clock.tickAsync(1000);
	t.equal(startsAtCrash, 1);
	t.equal(await state, 'completed');
	t.ok(cluster.startsOf(unitOf(1, UNITS - 1)) >= 1);
	t.same(cluster.violations, []);
});
