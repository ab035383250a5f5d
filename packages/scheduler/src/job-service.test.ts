import {newStep, newSubmission} from '@bergamotgauge/jobs/test/fixtures.js';
import {ServiceError} from '@bergamotgauge/model';
import type {KeyValueStore} from '@bergamotgauge/store';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t, {type Test} from 'tap';
import type {Admission} from './admission/admission.js';
import type {Refusal} from './admission/types.js';
import {createJobService} from './job-service.js';
import {createStoreHealth, type StoreHealth} from './store-health.js';
import {createMemoryKeyValue} from './test/memory-key-value.js';
import {BOUNDS, QUEUE} from './test/cluster.js';

const createService = (store: KeyValueStore, health: StoreHealth, admission?: Admission) =>
	createJobService({
		store,
		health,
		bounds: BOUNDS,
		...(admission && {admission}),
		log: createSilentLog(),
		metrics: createMetrics(),
	});

const createFixture = (t: Test) => {
	const clock = FakeTimers.install({now: 1_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	const store = createMemoryKeyValue();
	const health = createStoreHealth();
	const jobs = createService(store, health);
	const request = {queue: QUEUE, customer: 'acme', submission: newSubmission(1, [newStep()])};
	return {clock, store, health, jobs, request};
};

const ignore = () => {
	// Nothing is counted here.
};

const ADDRESS = {queue: QUEUE, customer: 'acme', id: '0000000000000001'};

// Guards against a repeated request that becomes a second job, or is refused.
await t.test('a repeated submission remains one job', async (t) => {
	const {store, jobs, request} = createFixture(t);
	await jobs.submit(request);
	await jobs.submit(request);
	t.equal(store.items().length, 1);
	const other = {...request, submission: {...request.submission, spec: 'other'}};
	await t.rejects(jobs.submit(other), {code: 'conflict', verdict: 'not-run'});
});

// Guards against a refusal that says that the job will not run although its write has taken effect.
await t.test('a lost response is resolved, and an unknown outcome is never reported as a refusal', async (t) => {
	const {clock, store, jobs, request} = createFixture(t);
	store.faults.lostResponses = 1;
	const accepted = jobs.submit(request);
	await clock.tickAsync(200);
	await accepted;
	t.equal(store.items().length, 1);

	store.faults.delayed = 100;
	const second = {...request, submission: newSubmission(2, [newStep()])};
	const unknown = t.rejects(jobs.submit(second), {code: 'deadline-exceeded', verdict: 'may-have-run', status: 504});
	await clock.tickAsync(4000);
	await unknown;
});

// Guards against many repeated writes to a store that refuses calls because of their rate.
await t.test('a submission with an unknown outcome is repeated with backoff while the store refuses it', async (t) => {
	const {clock, store, health, request} = createFixture(t);
	let calls = 0;
	const refusing: KeyValueStore = {
		...store,
		async transact() {
			calls += 1;
			throw new ServiceError('refused', {
				code: 'store-unavailable',
				verdict: calls === 1 ? 'may-have-run' : 'not-run',
			});
		},
	};
	const jobs = createService(refusing, health);
	const unknown = t.rejects(jobs.submit(request), {code: 'deadline-exceeded', verdict: 'may-have-run'});
	await clock.tickAsync(4000);
	await unknown;
	t.ok(calls >= 5 && calls <= 12, `${calls} calls`);
});

// Guards against a job that is confirmed to its caller although it was not stored.
await t.test('a transaction that was not applied is never taken for a stored job', async (t) => {
	const {store, health, request} = createFixture(t);
	const refusing: KeyValueStore = {...store, transact: async () => ({outcome: 'lease-ended'})};
	const jobs = createService(refusing, health);
	await t.rejects(jobs.submit(request), {code: 'store-unavailable', verdict: 'not-run'});
});

// Guards against callers that wait for a store that is known to be unavailable.
await t.test('requests are refused at once while the store is unavailable, with the time to retry after', async (t) => {
	const {clock, store, health, jobs, request} = createFixture(t);
	store.faults.isDown = true;
	health.recordFailure();
	await clock.tickAsync(1500);
	health.recordFailure();
	await t.rejects(jobs.submit(request), {code: 'store-unavailable', verdict: 'not-run', retryAfterMs: 1000});
	await t.rejects(jobs.state(ADDRESS), {code: 'store-unavailable'});
});

// Guards against one customer's jobs being read or cancelled with another customer's API key.
await t.test('a job belongs to its queue and customer', async (t) => {
	const {jobs, request} = createFixture(t);
	await jobs.submit(request);
	t.equal(await jobs.state(ADDRESS), 'queued');
	await t.rejects(jobs.state({...ADDRESS, customer: 'other'}), {code: 'not-found', verdict: 'not-run'});
	await t.rejects(jobs.cancel({...ADDRESS, customer: 'other'}), {code: 'not-found', verdict: 'not-run'});
	await t.rejects(jobs.state({...ADDRESS, id: '00000000000000ff'}), {code: 'not-found', verdict: 'not-run'});
	await jobs.cancel(ADDRESS);
	await jobs.cancel(ADDRESS);
	t.equal(await jobs.state(ADDRESS), 'cancelled');
});

const REFUSAL: Refusal = {reason: 'memory', message: 'full', code: 'overloaded', retryAfterMs: 3000};

// Guards against an accepted job whose repeated submission is told that it never runs, and against a refused one that is stored.
await t.test(
	'a refusal is true: a job that is stored is confirmed, another one leaves nothing in the store',
	async (t) => {
		const {store, health, jobs, request} = createFixture(t);
		const admission = {admit: () => REFUSAL, release: ignore, setBacklog: ignore};
		const full = createService(store, health, admission);
		await t.rejects(full.submit(request), {code: 'overloaded', verdict: 'not-run', status: 503, retryAfterMs: 3000});
		t.same(store.items(), []);
		await jobs.submit(request);
		await full.submit(request);
		const other = {...request, submission: {...request.submission, spec: 'other'}};
		await t.rejects(full.submit(other), {code: 'conflict', verdict: 'not-run'});

		const unreadable: KeyValueStore = {
			...store,
			async get() {
				throw new ServiceError('refused', {code: 'store-unavailable', verdict: 'not-run'});
			},
		};
		const blind = createService(unreadable, health, admission);
		await t.rejects(blind.submit(request), {code: 'deadline-exceeded', verdict: 'may-have-run', status: 504});
	},
);

// Guards against a job that runs although its caller was refused: an earlier attempt got no response at another instance, and
// the store carries it out after the refusal.
await t.test('a refusal is true while an earlier attempt at the job is under way', async (t) => {
	const {clock, store, health, jobs, request} = createFixture(t);
	const admission = {admit: () => REFUSAL, release: ignore, setBacklog: ignore};
	const full = createService(store, health, admission);
	store.faults.delayed = 100;
	const unknown = t.rejects(jobs.submit(request), {code: 'deadline-exceeded', verdict: 'may-have-run'});
	await clock.tickAsync(4000);
	await unknown;
	await t.rejects(full.submit(request), {code: 'overloaded', verdict: 'not-run', status: 503});
	store.release();
	await t.rejects(jobs.state(ADDRESS), {code: 'not-found'});
});
