import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {createTestCluster, specificationOf} from './test/test-cluster.js';

// Guards against "no such job" for an accepted job when the caller asks through an instance whose replica is behind.
await t.test('a new job is found through an instance that has not seen it', async (t) => {
	const clock = FakeTimers.install({now: 1_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	const cluster = await createTestCluster();
	const first = cluster.startEngine({id: 'first'});
	const behind = cluster.startEngine({id: 'behind', isBehind: true, owners: ['first']});
	const {id} = await first.jobs.submit('alpha', specificationOf(1, {runMs: 1000}));
	t.equal(behind.jobs.get(id), undefined, 'the replica does not have it');
	await behind.jobs.refresh(id);
	t.equal(behind.jobs.get(id)?.id, id, 'the store does');

	const reads = cluster.store.reads();
	await behind.jobs.refresh('not-an-id');
	await behind.jobs.refresh('018f0000-0000-7000-8000-000000000000');
	t.equal(cluster.store.reads(), reads, 'ids that cannot be new cost no read');
	const closed = Promise.all([first.close(), behind.close()]);
	await clock.tickAsync(1000);
	await closed;
});
