import {newJob, newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import {decodeProgress} from '@bergamotgauge/jobs';
import {createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t, {type Test} from 'tap';
import type {Term} from './election.js';
import {createActiveJob, partOf, type ActiveJob} from './active-job.js';
import {cancelJob, recordEnd} from './job-outcome.js';
import {jobKey, LEADER_KEY} from './keys.js';
import {createProgressWriter} from './progress-writer.js';
import {createMemoryKeyValue} from './test/memory-key-value.js';

const createFixture = async (t: Test) => {
	const clock = FakeTimers.install({now: 1_000_000});
	t.teardown(() => {
		clock.uninstall();
	});
	const store = createMemoryKeyValue();
	store.put(LEADER_KEY, new Uint8Array(1));
	const controller = new AbortController();
	const leader = await store.get(LEADER_KEY);
	const term: Term = {
		number: 1,
		leaderRevision: leader!.revision,
		isValid: () => !controller.signal.aborted,
		abandon(reason) {
			controller.abort(new Error(reason));
		},
		signal: controller.signal,
	};
	const cancelled: ActiveJob[] = [];
	const writer = createProgressWriter({
		store,
		term,
		log: createSilentLog(),
		onStored() {
			// The tests read the store directly.
		},
		onCancelled(activeJob) {
			cancelled.push(activeJob);
		},
	});
	const activeJob = createActiveJob({
		job: newJob({steps: [newStep({count: 2})]}),
		progress: undefined,
		progressRevision: 0,
		jobRevision: 1,
		isCancelled: false,
		nowMs: 0,
	});
	const finish = (index: number) =>
		recordEnd(
			activeJob,
			partOf(activeJob, 0, 0, index)!,
			{workerId: 'w', index, run: 1, how: 'done', checkpoint: ''},
			5,
		);
	/** Outcome of the stored record, `none yet` without an outcome, or `no record`. */
	const storedOutcome = async () => {
		const item = await store.get(jobKey(activeJob.job.id, 'progress'));
		return item ? (decodeProgress(item.value).outcome ?? 'none yet') : 'no record';
	};

	return {clock, store, term, writer, activeJob, finish, storedOutcome, cancelled};
};

// Guards against a delayed write that reverts ends which have been acknowledged to the workers.
await t.test('a delayed write does not overwrite newer progress', async (t) => {
	const {clock, store, writer, activeJob, finish, storedOutcome} = await createFixture(t);
	store.faults.delayed = 1;
	finish(0);
	const first = writer.store([activeJob]);
	await clock.tickAsync(10);
	finish(1);
	const second = writer.store([activeJob]);
	await clock.tickAsync(1000);
	await Promise.all([first, second]);
	store.release();
	t.equal(await storedOutcome(), 'completed');
});

// Guards against a lost response that blocks all later writes of the job.
await t.test('a write whose response is lost is recognised', async (t) => {
	const {clock, store, writer, activeJob, finish, storedOutcome} = await createFixture(t);
	store.faults.lostResponses = 1;
	finish(0);
	const first = writer.store([activeJob]);
	await clock.tickAsync(1000);
	await first;
	finish(1);
	const second = writer.store([activeJob]);
	await clock.tickAsync(1000);
	await second;
	t.equal(await storedOutcome(), 'completed');
});

// Guards against a job that is shown as completed after its cancellation was confirmed to the caller.
await t.test('a stored cancellation takes precedence over an outcome', async (t) => {
	const {clock, store, writer, activeJob, finish, storedOutcome, cancelled} = await createFixture(t);
	store.put(jobKey(activeJob.job.id, 'cancellation'), new Uint8Array(0));
	finish(0);
	recordEnd(
		activeJob,
		partOf(activeJob, 0, 0, 1)!,
		{workerId: 'w', index: 1, run: 1, how: 'failed', checkpoint: ''},
		5,
	);
	recordEnd(
		activeJob,
		partOf(activeJob, 0, 0, 1)!,
		{workerId: 'w', index: 1, run: 2, how: 'failed', checkpoint: ''},
		5,
	);
	t.equal(activeJob.outcome, 'failed');
	const written = writer.store([activeJob]);
	await clock.tickAsync(1000);
	await written;
	t.equal(await storedOutcome(), 'cancelled');
	t.equal(cancelled.length, 1);
});

// Guards against writes by an instance that no longer leads.
await t.test('a leader that was replaced writes nothing', async (t) => {
	const {clock, store, term, writer, activeJob, finish, storedOutcome} = await createFixture(t);
	store.put(LEADER_KEY, new Uint8Array(2));
	finish(0);
	const written = t.rejects(writer.store([activeJob]), {code: 'stale-token'});
	await clock.tickAsync(1000);
	await written;
	t.ok(term.signal.aborted);
	t.equal(await storedOutcome(), 'no record');
});

// Guards against a write that conflicts forever and blocks the writes of all other jobs. It happened when a cancellation
// arrived after the last unit was done and before the outcome was stored.
await t.test(
	'a job that is cancelled after its last unit and before its outcome is stored ends as cancelled',
	async (t) => {
		for (const isSeenBefore of [true, false]) {
			const {clock, store, writer, activeJob, finish, storedOutcome} = await createFixture(t);
			store.put(jobKey(activeJob.job.id, 'cancellation'), new Uint8Array(0));
			finish(0);
			finish(1);
			t.equal(activeJob.outcome, 'completed');
			if (isSeenBefore) {
				cancelJob(activeJob, 9);
			}

			let isWritten = false;
			void (async () => {
				await writer.store([activeJob]);
				isWritten = true;
			})();

			await clock.tickAsync(3000);
			t.equal(isWritten, true, `the write ends, cancellation ${isSeenBefore ? 'seen before' : 'found by the write'}`);
			t.equal(await storedOutcome(), 'cancelled');

			clock.uninstall();
		}
	},
);

// Guards against a job that callers have seen as completed and that turns to cancelled: the write of the outcome got no
// response, and a cancellation was stored before the write was repeated.
await t.test('a cancellation does not overrule an outcome that was stored before it', async (t) => {
	const {clock, store, writer, activeJob, finish, storedOutcome, cancelled} = await createFixture(t);
	store.faults.lostResponses = 1;
	finish(0);
	finish(1);
	const written = writer.store([activeJob]);
	await clock.tickAsync(1);
	t.equal(await storedOutcome(), 'completed');
	store.put(jobKey(activeJob.job.id, 'cancellation'), new Uint8Array(0));
	await clock.tickAsync(3000);
	await written;
	t.equal(await storedOutcome(), 'completed');
	t.equal(activeJob.outcome, 'completed');
	t.equal(cancelled.length, 0);
});
