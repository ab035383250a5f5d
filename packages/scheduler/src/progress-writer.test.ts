import {newJob, newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import {sleep} from '@bergamotgauge/lifecycle';
import {decodeProgress} from '@bergamotgauge/jobs';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
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
		metrics: createMetrics(),
		maxValueBytes: store.faults.valueBytes,
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

/** A job whose units were stopped, each with a checkpoint of so many bytes. */
const newStoppedJob = (id: number, units: number, checkpointBytes: number): ActiveJob => {
	const activeJob = createActiveJob({
		job: newJob({id: String(id).padStart(16, '0'), steps: [newStep({count: units})]}),
		progress: undefined,
		progressRevision: 0,
		jobRevision: 1,
		isCancelled: false,
		nowMs: 0,
	});
	for (let index = 0; index < units; index += 1) {
		const checkpoint = 'x'.repeat(checkpointBytes);
		recordEnd(
			activeJob,
			partOf(activeJob, 0, 0, index)!,
			{workerId: 'w', index, run: 1, how: 'stopped', checkpoint},
			5,
		);
	}

	return activeJob;
};

const progressKey = ({job}: ActiveJob): string => jobKey(job.id, 'progress');

// Guards against a record over the store's limit for a value: the batch with it was repeated for good, and no end of any
// other job was stored.
await t.test('a record with large checkpoints is stored without some of them, beside others', async (t) => {
	const {clock, store, writer} = await createFixture(t);
	const large = newStoppedJob(1, 600, 3000);
	const small = newStoppedJob(2, 1, 10);
	const stored = writer.store([large, small]);
	await clock.tickAsync(1000);
	await stored;
	const record = await store.get(progressKey(large));
	const parts = Object.values(decodeProgress(record!.value).parts);
	const kept = parts.filter(({checkpoint}) => checkpoint.length === 3000).length;
	t.equal(parts.length, 600, 'all ends are kept');
	t.ok(kept > 250 && kept < 350, `${kept} checkpoints are kept`);
	t.ok(record!.value.length <= store.faults.valueBytes);
	t.ok(await store.get(progressKey(small)));
});

// Guards against the same where the store takes less than the settings say.
await t.test('a record that the store refuses is stored without its checkpoints', async (t) => {
	const {clock, store, writer} = await createFixture(t);
	store.faults.valueBytes = 5000;
	const large = newStoppedJob(1, 10, 1000);
	const small = newStoppedJob(2, 1, 10);
	const stored = writer.store([large, small]);
	await clock.tickAsync(1000);
	await stored;
	const record = decodeProgress((await store.get(progressKey(large)))!.value);
	t.same(
		Object.values(record.parts).map(({run, checkpoint}) => [run, checkpoint]),
		Array.from({length: 10}, () => [1, '']),
	);
	t.equal(decodeProgress((await store.get(progressKey(small)))!.value).parts['0.0.0']?.checkpoint.length, 10);
});

// Guards against a record that is refused for any reason and stops the others with it.
await t.test('records beside one that is refused for good are stored, and it is tried again', async (t) => {
	const {clock, store, writer} = await createFixture(t);
	const jobs = Array.from({length: 25}, (_, index) => newStoppedJob(index + 1, 1, 10));
	const refused = jobs[3]!;
	store.faults.refusedKeys.add(progressKey(refused));
	let isStored = false;
	const stored = (async () => {
		await writer.store(jobs);
		isStored = true;
	})();
	await clock.tickAsync(1000);
	const missing = [];
	for (const activeJob of jobs) {
		if (!(await store.get(progressKey(activeJob)))) {
			missing.push(activeJob);
		}
	}

	t.same(missing, [refused]);
	t.notOk(isStored, 'the ends of the refused record are not acknowledged');
	const later = newStoppedJob(30, 1, 10);
	const laterStored = writer.store([later]);
	await clock.tickAsync(100);
	await laterStored;
	store.faults.refusedKeys.clear();
	await clock.tickAsync(6000);
	await stored;
	t.ok(await store.get(progressKey(refused)));
});

// Guards against a stored record of a newer version, which cannot be read and made each write of its batch fail.
await t.test('a conflict with an unreadable record does not stop other records', async (t) => {
	const {clock, store, writer} = await createFixture(t);
	const unreadable = newStoppedJob(1, 1, 10);
	const other = newStoppedJob(2, 1, 10);
	store.put(progressKey(unreadable), Uint8Array.of(0xff));
	void writer.store([unreadable]);
	const stored = writer.store([other]);
	await clock.tickAsync(2000);
	await stored;
	t.ok(await store.get(progressKey(other)));
	t.same((await store.get(progressKey(unreadable)))!.value, Uint8Array.of(0xff), 'it is not overwritten');
});

// Guards against a large record that changes with each write and is always written before the others.
await t.test('a record that keeps changing does not hold up others', async (t) => {
	const {clock, store, writer} = await createFixture(t);
	const busy = newStoppedJob(1, 600, 3000);
	// Both do not fit in one batch.
	const other = newStoppedJob(2, 4, 3000);
	const {transact} = store;
	let writes = 0;
	const isWritten = (activeJob: ActiveJob) => store.items().some(({key}) => key === progressKey(activeJob));
	Object.assign(store, {
		async transact(...[transaction]: Parameters<typeof transact>) {
			busy.changes += 1;
			writes += 1;
			await sleep(10);
			return transact(transaction);
		},
	});
	writer.storeLater(busy);
	writer.storeLater(other);
	await clock.tickAsync(400);
	t.ok(isWritten(busy) && isWritten(other), `after ${writes} writes`);
});

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
