import t from 'tap';
import {LEADER_KEY, TERM_KEY} from './keys.js';
import {createTestCluster, newWorker, submitStep, unitOf} from './test/cluster.js';

// Guards against a leader key that nobody holds until its lease expires: the claim was stored, but its response was lost.
await t.test('a claim without a response is withdrawn', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')]);
	cluster.store.faults.lostResponses = 1;
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	t.equal(cluster.store.faults.lostResponses, 0);
	await submitStep(scheduler.jobs, 1);
	await cluster.clock.tickAsync(200);
	t.equal(cluster.startsOf(unitOf(1)), 1);
});

// Guards against a claim that makes an instance the leader after it has given the claim up.
await t.test('a claim that takes effect late is refused', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')]);
	cluster.store.faults.delayed = 1;
	cluster.startInstance('one');
	await cluster.clock.tickAsync(500);
	const before = await cluster.store.get(TERM_KEY);
	const leader = await cluster.store.get(LEADER_KEY);
	t.ok(leader, 'a later claim was stored');
	cluster.store.release();
	t.same(await cluster.store.get(TERM_KEY), before);
	t.same(await cluster.store.get(LEADER_KEY), leader);
});
