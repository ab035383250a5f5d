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
	const view = {ageMs: 0};
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
		viewAgeMs: () => view.ageMs,
		signal,
	});
	const endTerm = () => {
		controller.abort();
	};

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
	return {clock, store, view, endTerm, addJob, removeJob, readPublished};
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

await t.test('a count that does not change remains readable while the leader counts', async (t) => {
	const {clock, addJob, readPublished} = await createFixture(t);
	const queue = await addJob('0000000000000001');
	await clock.tickAsync(30_000);
	t.equal(await readPublished(queue), 1);
});

// Guards against callers that are told the last count of an earlier leader while jobs are accepted that it has not seen.
await t.test('a count is not served after the leader has stopped counting', async (t) => {
	const {clock, store, endTerm, addJob, readPublished} = await createFixture(t);
	const queue = await addJob('0000000000000001');
	await clock.tickAsync(1000);
	endTerm();
	const job = newJob({id: '0000000000000002'});
	store.put(jobKey(job.id, 'submission'), encodeJob(job));
	await clock.tickAsync(5000);
	await t.rejects(readPublished(queue), {code: 'store-unavailable', verdict: 'not-run'});
});

// Guards against counts of a leader that keeps its term but gets no changes of the jobs.
await t.test('a count is not served when the view of the jobs that it rests on is old', async (t) => {
	const {clock, view, addJob, readPublished} = await createFixture(t);
	const queue = await addJob('0000000000000001');
	await clock.tickAsync(1000);
	view.ageMs = 5000;
	await clock.tickAsync(3000);
	await t.rejects(readPublished(queue), {code: 'store-unavailable'});
	view.ageMs = 0;
	await clock.tickAsync(3000);
	t.equal(await readPublished(queue), 1);
});
