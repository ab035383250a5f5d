import t from 'tap';
import {QUEUE} from '../test/cluster.js';
import {createJobServices} from '../test/job-services.js';
import {MAX_WITHDRAWALS_PER_LEASE, WITHDRAWAL_TTL_MS} from './constants.js';

const ADDRESS = {queue: QUEUE, customer: 'acme', id: '0000000000000001'};
const GONE = {code: 'not-found', status: 410};
const WITHDRAWN = {code: 'conflict', verdict: 'not-run'};

// Guards against a job that runs although its cancellation was answered with "no such job".
await t.test('a submission that is under way when its job is cancelled is refused', async (t) => {
	const {clock, store, front, other, request} = createJobServices(t);
	store.faults.delayed = 1;
	const submitted = t.rejects(front.submit(request), WITHDRAWN);
	await t.rejects(other.cancel(ADDRESS), GONE);
	store.release();
	await clock.tickAsync(3000);
	await submitted;
	await t.rejects(other.state(ADDRESS), GONE);
	await t.rejects(other.cancel(ADDRESS), GONE, 'a repeated cancellation gets the same answer');
	await clock.tickAsync(WITHDRAWAL_TTL_MS);
	t.same(store.items(), [], 'the mark ends with its lease');
	await front.submit(request);
});

// Guards against an answer of 410 for a job that another instance stores between the two store calls of the cancellation.
await t.test('a job that is stored while it is withdrawn is cancelled', async (t) => {
	const {calls, front, other, request} = createJobServices(t);
	// The cancellation has read that there is no job when the submission is stored.
	await Promise.all([other.cancel(ADDRESS), front.submit(request)]);
	t.equal(calls.list, 2, 'the job was read again');
	t.equal(await other.state(ADDRESS), 'cancelled');
});

// Guards against a caller that repeats a cancelled submission in vain: a status that the platform's callers do not know, and
// no time after which the id may be used again.
await t.test('the refusal of a cancelled submission says why, and when the id may be used again', async (t) => {
	const {clock, front, other, request} = createJobServices(t);
	await t.rejects(other.cancel(ADDRESS), GONE);
	const refusal = {...WITHDRAWN, status: 503, retryAfterMs: WITHDRAWAL_TTL_MS, message: /was cancelled/v};
	await t.rejects(front.submit(request), refusal);
	await clock.tickAsync(WITHDRAWAL_TTL_MS);
	await front.submit(request);
	t.equal(await other.state(ADDRESS), 'queued');
});

// Guards against a customer that blocks the ids of another one's jobs.
await t.test('a mark does not hold for the jobs of other customers', async (t) => {
	const {front, other, request} = createJobServices(t);
	await t.rejects(other.cancel({...ADDRESS, customer: 'globex'}), GONE);
	await front.submit(request);
	t.equal(await front.state(ADDRESS), 'queued');
});

// Guards against a job that runs although its cancellation was answered with "no such job": the two instances had different
// versions of the configuration, in one of which calls of the queue need no key.
for (const isPublicAtSubmission of [true, false]) {
	await t.test(`a mark holds when the queue ${isPublicAtSubmission ? 'was' : 'becomes'} public`, async (t) => {
		const {clock, store, front, other, request} = createJobServices(t);
		const queueAtSubmission = {...QUEUE, isPublic: isPublicAtSubmission};
		const queueAtCancellation = {...QUEUE, isPublic: !isPublicAtSubmission};
		store.faults.delayed = 1;
		const submitted = t.rejects(front.submit({...request, queue: queueAtSubmission}), WITHDRAWN);
		await t.rejects(other.cancel({...ADDRESS, queue: queueAtCancellation}), GONE);
		store.release();
		await clock.tickAsync(3000);
		await submitted;
		await t.rejects(other.state(ADDRESS), GONE);
	});
}

// Guards against a caller that cannot cancel a job of a queue whose calls need no key, since it names another key or none.
await t.test('any caller withdraws a job of a public queue', async (t) => {
	const {front, other, request} = createJobServices(t);
	const queue = {...QUEUE, isPublic: true};
	await t.rejects(other.cancel({...ADDRESS, queue, customer: ''}), GONE);
	await t.rejects(front.submit({...request, queue}), WITHDRAWN);
});

// Guards against a burst of cancellations that costs a lease each or fills the store.
await t.test('marks share a lease and are bounded in number', async (t) => {
	const {clock, calls, other} = createJobServices(t);
	const withdraw = async (index: number) =>
		other.cancel({...ADDRESS, id: index.toString(16).padStart(16, '0')}).catch((error: unknown) => error);
	for (let index = 0; index < MAX_WITHDRAWALS_PER_LEASE; index += 1) {
		await withdraw(index);
	}

	t.same(calls, {grantLease: 1, transact: MAX_WITHDRAWALS_PER_LEASE, list: MAX_WITHDRAWALS_PER_LEASE});
	t.match(await withdraw(MAX_WITHDRAWALS_PER_LEASE), {code: 'overloaded', verdict: 'not-run'});
	await t.rejects(other.cancel({...ADDRESS, id: 'no-job-id'}), GONE, 'an id that no job can have needs no mark');
	await clock.tickAsync(WITHDRAWAL_TTL_MS);
	t.match(await withdraw(MAX_WITHDRAWALS_PER_LEASE), GONE);
});
