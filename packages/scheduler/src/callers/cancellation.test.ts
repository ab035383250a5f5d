import {encodeProgress} from '@bergamotgauge/jobs';
import t, {type Test} from 'tap';
import {RETENTION_MARGIN_MS} from '../constants.js';
import {jobKey} from '../keys.js';
import {BOUNDS, QUEUE} from '../test/cluster.js';
import {createJobServices} from '../test/job-services.js';
import type {MemoryKeyValue} from '../test/memory-key-value.js';

const ID = '0000000000000001';
const ADDRESS = {queue: QUEUE, customer: 'acme', id: ID};

/** Stores the outcome of the job as a leader does. */
const completeJob = (store: MemoryKeyValue) => {
	const progress = {hasBegun: true, outcome: 'completed', endedMs: Date.now(), parts: {}} as const;
	store.put(jobKey(ID, 'progress'), encodeProgress(progress));
};

const removeJob = (store: MemoryKeyValue) => {
	store.remove(jobKey(ID, 'progress'));
	store.remove(jobKey(ID, 'submission'));
};

// Guards against an answer for a job of an earlier time: its id was used again after its records had been removed, and the
// new job was shown as completed, and ran on after its cancellation had been answered with "no such job".
await t.test('a job is read and cancelled although its id belonged to an ended job before', async (t) => {
	const {clock, store, front, other, request} = createJobServices(t);
	await front.submit(request);
	await clock.tickAsync(1000);
	completeJob(store);
	t.equal(await front.state(ADDRESS), 'completed');
	await clock.tickAsync(BOUNDS.stateRetentionMs + RETENTION_MARGIN_MS);
	removeJob(store);
	await other.submit(request);
	t.equal(await front.state(ADDRESS), 'queued');
	await front.cancel(ADDRESS);
	t.equal(await other.state(ADDRESS), 'cancelled');
});

// Guards against a cancellation that does not reach a job, because the instance has kept the ended one longer than others.
await t.test('a cancellation reads the store', async (t) => {
	const {store, front, other, request} = createJobServices(t);
	await front.submit(request);
	completeJob(store);
	t.equal(await front.state(ADDRESS), 'completed');
	removeJob(store);
	await other.submit(request);
	await front.cancel(ADDRESS);
	t.equal(await other.state(ADDRESS), 'cancelled');
});

/** Lets another job take the place of the stored one as often as the instances list its records. */
const replaceAtListings = async (t: Test, times: number) => {
	const {store, hooks, front, other, request} = createJobServices(t);
	await front.submit(request);
	const submission = store.items().find(({key}) => key === jobKey(ID, 'submission'))!;
	let replaced = 0;
	hooks.afterListing = () => {
		if (replaced < times) {
			replaced += 1;
			removeJob(store);
			store.put(submission.key, submission.value);
		}
	};

	return {front, other};
};

// Guards against a job that runs on although its cancellation was answered with "no such job": it had taken the place of
// an ended one between the two store calls of the cancellation.
await t.test('a job that replaces another one while that is cancelled is cancelled', async (t) => {
	const {front, other} = await replaceAtListings(t, 1);
	await front.cancel(ADDRESS);
	t.equal(await other.state(ADDRESS), 'cancelled');
});

// Guards against a cancellation that never ends, and against an answer that says more than is known.
await t.test('a cancellation whose job is replaced again and again is refused', async (t) => {
	const {front, other} = await replaceAtListings(t, 100);
	await t.rejects(front.cancel(ADDRESS), {code: 'overloaded', verdict: 'not-run', status: 503});
	t.equal(await other.state(ADDRESS), 'queued');
});
