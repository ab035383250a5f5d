import {newJob} from '@bergamotgauge/jobs/test/fixtures.js';
import {encodeJob} from '@bergamotgauge/jobs';
import {createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t, {type Test} from 'tap';
import {createJobTable} from './job-table.js';
import {jobKey, JOBS_PREFIX, LEADER_KEY} from './keys.js';
import {createPendingReader, publishPendingCounts} from './pending-counts.js';
import {createMemoryKeyValue} from './test/memory-key-value.js';

const createFixture = async (t: Test) => {
	const clock = FakeTimers.install({now: 1_000_000});
	const store = createMemoryKeyValue();
	store.put(LEADER_KEY, new Uint8Array(1));
	const leader = await store.get(LEADER_KEY);
	const table = createJobTable(createSilentLog());
	const controller = new AbortController();
	const {signal} = controller;
	const publishing = publishPendingCounts({
		store,
		table,
		term: {
			number: 1,
			leaderRevision: leader!.revision,
			isValid: () => !signal.aborted,
			abandon() {
				controller.abort();
			},
			signal,
		},
		log: createSilentLog(),
		signal,
	});
	t.teardown(async () => {
		controller.abort();
		await publishing;
		clock.uninstall();
	});
	const addJob = async (id: string) => {
		const job = newJob({id});
		store.put(jobKey(id, 'submission'), encodeJob(job));
		table.apply(await store.list(JOBS_PREFIX));
		return job.queue;
	};

	const removeJob = async (id: string) => {
		store.remove(jobKey(id, 'submission'));
		table.apply(await store.list(JOBS_PREFIX));
	};

	const readPublished = async (queue: string) => createPendingReader(store, () => performance.now())(queue);
	return {clock, store, addJob, removeJob, readPublished};
};

// Guards against callers that are told an old count for as long as the number of queued jobs does not change.
await t.test('a write of the counts that takes effect late does not replace newer counts', async (t) => {
	const {clock, store, addJob, readPublished} = await createFixture(t);
	const queue = await addJob('0000000000000001');
	store.faults.delayed = 1;
	await clock.tickAsync(600);
	await addJob('0000000000000002');
	await addJob('0000000000000003');
	await clock.tickAsync(1200);
	t.equal(await readPublished(queue), 3);
	store.release();
	await clock.tickAsync(2000);
	t.equal(await readPublished(queue), 3);
});

// Guards against a count that stays wrong when a write without a response takes effect after the count has changed back.
await t.test('counts are written again after a write without a response', async (t) => {
	const {clock, store, addJob, removeJob, readPublished} = await createFixture(t);
	const queue = await addJob('0000000000000001');
	await clock.tickAsync(1200);
	store.faults.lostResponses = 1;
	await addJob('0000000000000002');
	await clock.tickAsync(600);
	await removeJob('0000000000000002');
	await clock.tickAsync(2000);
	t.equal(await readPublished(queue), 1);
});
