import {ServiceError} from '@bergamotgauge/model';
import type {Transaction} from '@bergamotgauge/store';
import t from 'tap';
import {LEADER_KEY, ROSTER_KEY} from './keys.js';
import {createTestCluster, newWorker, submitStep, type TestCluster} from './test/cluster.js';

/** Makes the store refuse the writes of a key, as it does above its rate limit; returns the times of the refusals. */
const refuseWritesOf = (cluster: TestCluster, key: string): readonly number[] => {
	const refusedMs: number[] = [];
	const {transact} = cluster.store;
	Object.assign(cluster.store, {
		async transact(transaction: Transaction) {
			if (transaction.writes.some((write) => write.key === key)) {
				refusedMs.push(performance.now());
				throw new ServiceError('refused', {code: 'store-unavailable', verdict: 'not-run'});
			}

			return transact(transaction);
		},
	});
	return refusedMs;
};

// Guards against a leader that repeats a refused write at every planning pass, and so keeps the store over its rate limit.
await t.test('a refused write of the roster is repeated with backoff', async (t) => {
	const cluster = createTestCluster(
		t,
		Array.from({length: 8}, (_value, index) => newWorker(`w${index}`)),
	);
	const refusedMs = refuseWritesOf(cluster, ROSTER_KEY);
	const {scheduler} = cluster.startInstance('one');
	for (let id = 1; id <= 40; id += 1) {
		await cluster.clock.tickAsync(50);
		await submitStep(scheduler.jobs, id);
	}

	t.ok(refusedMs.length >= 3 && refusedMs.length <= 12, `${refusedMs.length} writes in 2 s`);
});

// Guards against instances that repeat a refused claim every 50 ms.
await t.test('a refused claim of the leadership is repeated with backoff', async (t) => {
	const cluster = createTestCluster(t, [newWorker('w1')]);
	const refusedMs = refuseWritesOf(cluster, LEADER_KEY);
	cluster.startInstance('one');
	await cluster.clock.tickAsync(2000);
	t.ok(refusedMs.length >= 3 && refusedMs.length <= 10, `${refusedMs.length} claims in 2 s`);
});
