import t from 'tap';
import {createTestCluster, newWorker, submitStep, unitOf} from './test/cluster.js';

// Guards against one worker to which no connection can be created, and which then stops all starts on the others.
await t.test('units start beside a worker whose address is unusable', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')]);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(1000);
	// The cluster has no worker of this id, so that connecting to it throws.
	cluster.report(newWorker('w9'));
	await cluster.clock.tickAsync(3000);
	await submitStep(scheduler.jobs, 1);
	await cluster.clock.tickAsync(3000);
	t.equal(cluster.startsOf(unitOf(1)), 1);
});
