import {ServiceError} from '@bergamotgauge/model';
import type {Transaction} from '@bergamotgauge/store';
import {createLog, parseLine} from '@bergamotgauge/telemetry';
import t from 'tap';
import {LEADER_KEY, ROSTER_KEY} from './keys.js';
import {createTestCluster, newWorker, submitStep, unitOf, type TestCluster} from './test/cluster.js';

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

/** Makes the store refuse reads of the roster until `untilMs`; returns the times of the refusals. */
const refuseRosterReads = (cluster: TestCluster, untilMs: number): readonly number[] => {
	const refusedMs: number[] = [];
	const {get} = cluster.store;
	Object.assign(cluster.store, {
		async get(key: string) {
			if (key === ROSTER_KEY && performance.now() < untilMs) {
				refusedMs.push(performance.now());
				throw new ServiceError('refused', {code: 'store-unavailable', verdict: 'not-run'});
			}

			return get(key);
		},
	});
	return refusedMs;
};

/** Counts the lines of a log by event. */
const createCountingLog = () => {
	const counts = new Map<string, number>();
	const log = createLog({
		level: 'info',
		output: {
			write(text: string) {
				const event = parseLine(text)?.event ?? '';
				counts.set(event, (counts.get(event) ?? 0) + 1);
			},
		},
	});
	return {log, counts};
};

// Guards against a new leader that gives up its term, so that nothing starts until another election, because one read failed.
await t.test('a failed read of the roster is repeated with backoff in the same term', async (t) => {
	const {log, counts} = createCountingLog();
	const cluster = createTestCluster(t, [newWorker('w1')], undefined, {log});
	const refusedMs = refuseRosterReads(cluster, 1500);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(300);
	await submitStep(scheduler.jobs, 1);
	await cluster.clock.tickAsync(1200);
	t.ok(refusedMs.length >= 3 && refusedMs.length <= 10, `${refusedMs.length} reads in 1.5 s`);
	t.equal(counts.get('roster-not-read'), refusedMs.length, 'each failed read is logged');
	t.equal(counts.get('taken-over'), undefined);
	await cluster.clock.tickAsync(600);
	t.equal(counts.get('term-started'), 1);
	t.equal(counts.get('term-ended'), undefined);
	t.equal(counts.get('taken-over'), 1);
	t.equal(cluster.startsOf(unitOf(1)), 1);
});

// Guards against reads that go on after the term has ended, and against a term that is logged as taken over then.
await t.test('a read of the roster is not repeated after the end of the term', async (t) => {
	const {log, counts} = createCountingLog();
	const cluster = createTestCluster(t, [newWorker('w1')], undefined, {log});
	const refusedMs = refuseRosterReads(cluster, Number.POSITIVE_INFINITY);
	const {scheduler} = cluster.startInstance('one');
	await cluster.clock.tickAsync(1000);
	scheduler.resign();
	await cluster.clock.tickAsync(200);
	t.equal(counts.get('term-ended'), 1);
	const readCount = refusedMs.length;
	await cluster.clock.tickAsync(2000);
	t.equal(refusedMs.length, readCount);
	t.equal(counts.get('term-started'), 1);
	t.equal(counts.get('taken-over'), undefined);
});
