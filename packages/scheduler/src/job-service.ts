import {
	checkSubmission,
	decodeJob,
	encodeJob,
	isJobId,
	type Job,
	type JobState,
	type JobStatus,
} from '@bergamotgauge/jobs';
import {ServiceError, toServiceError} from '@bergamotgauge/model';
import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import type {KeyValueStore, StoredItem, Transaction} from '@bergamotgauge/store';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {LRUCache} from 'lru-cache';
import type {Admission} from './admission/admission.js';
import {createJobIntake} from './admission/job-intake.js';
import {createWithdrawals, withdrawalKey} from './callers/withdrawals.js';
import {
	ENDED_CACHE_ENTRIES,
	RESOLVE_RETRY_MAX_MS,
	RESOLVE_RETRY_MIN_MS,
	STORE_RETRY_AFTER_MS,
	SUBMIT_RESOLVE_MS,
} from './constants.js';
import {EMPTY_ENTRY, mergeRecord, stateOf, type JobEntry} from './job-entry.js';
import {jobKey, jobPrefix} from './keys.js';
import {createPendingReader} from './pending-counts.js';
import type {StoreHealth} from './store-health.js';
import type {JobRequest, Queue} from './types.js';

export type JobServiceOptions = Readonly<{
	store: KeyValueStore;
	health: StoreHealth;
	/** Without it, all jobs are accepted. */
	admission?: Admission;
	log: Log;
	metrics: Metrics;
}>;

/** Identifies a job by its queue, customer and id. */
export type JobAddress = Readonly<{queue: Queue; customer: string; id: string}>;

/** Operations that callers may request. */
export type JobService = Readonly<{
	/** Resolves when the job is stored. */
	submit: (request: JobRequest) => Promise<void>;
	state: (address: JobAddress) => Promise<JobState>;
	/** The state, with the cause if the job has failed. */
	status: (address: JobAddress) => Promise<JobStatus>;
	/** Resolves when the cancellation is stored. For a job that is not stored it fails with `not-found`, and a submission that is still under way is refused. */
	cancel: (address: JobAddress) => Promise<void>;
	/** Number of accepted jobs of the queue of which no unit has started; may be two seconds old. */
	countPending: (queue: Queue) => Promise<number>;
}>;

const noSuchJob = (id: string): ServiceError =>
	new ServiceError(`there is no job ${id}`, {code: 'not-found', verdict: 'not-run', status: 410});

const storeUnavailable = (): ServiceError =>
	new ServiceError('the store does not answer', {
		code: 'store-unavailable',
		verdict: 'not-run',
		retryAfterMs: STORE_RETRY_AFTER_MS,
	});

const isSameSubmission = (a: Job, b: Job): boolean =>
	a.queue === b.queue && a.customer === b.customer && a.spec === b.spec && a.steps.length === b.steps.length;

/**
Creates the service that handles callers' job requests.

@example
```ts
const service = createJobService({store, health, log, metrics});
await service.submit({queue, customer: 'acme', submission});
```
*/
export const createJobService = ({store, health, admission, log, metrics}: JobServiceOptions): JobService => {
	const readPending = createPendingReader(store, health.clocks.latestNow);
	const withdrawals = createWithdrawals(store, health.clocks.latestNow);
	/** Ended jobs, which are immutable. */
	const ended = new LRUCache<string, JobEntry>({max: ENDED_CACHE_ENTRIES});

	/** Retries a transaction until its outcome is known. Returns the current items on a conflict and `undefined` if it was applied. */
	const transactUntilResolved = async (transaction: Transaction): Promise<readonly StoredItem[] | undefined> => {
		const deadlineMs = health.clocks.now() + SUBMIT_RESOLVE_MS;
		const backoff = createBackoff({minMs: RESOLVE_RETRY_MIN_MS, maxMs: RESOLVE_RETRY_MAX_MS});
		let mayHaveRun = false;
		for (;;) {
			try {
				const result = await store.transact(transaction);
				if (result.outcome === 'lease-ended') {
					throw storeUnavailable();
				}

				return result.outcome === 'conflict' ? result.current : undefined;
			} catch (error_) {
				const error = toServiceError(error_, 'may-have-run');
				mayHaveRun ||= error.verdict === 'may-have-run';
				if (!mayHaveRun) {
					throw error;
				}

				if (health.clocks.now() >= deadlineMs) {
					throw new ServiceError(`the outcome of the request is unknown: ${error.message}`, {
						code: 'deadline-exceeded',
						verdict: 'may-have-run',
						cause: error,
					});
				}

				await sleep(Math.min(backoff.next(), deadlineMs - health.clocks.now()));
			}
		}
	};

	const intake = createJobIntake({store, admission, transact: transactUntilResolved, log, metrics});

	const readEntry = async (id: string): Promise<JobEntry> => {
		const known = ended.get(id);
		if (known) {
			return known;
		}

		if (health.isLost()) {
			throw storeUnavailable();
		}

		const {items} = await store.list(jobPrefix(id));
		let entry = EMPTY_ENTRY;
		for (const item of items) {
			entry = mergeRecord(entry, item);
		}

		if (entry.progress?.outcome) {
			ended.set(id, entry);
		}

		return entry;
	};

	/** The entry of a job that the caller may see. */
	const checkVisible = (entry: JobEntry, {queue, customer, id}: JobAddress): JobEntry => {
		const isVisible = entry.job?.queue === queue.name && (queue.isPublic || entry.job.customer === customer);
		if (!isVisible) {
			throw noSuchJob(id);
		}

		return entry;
	};

	const find = async (address: JobAddress): Promise<JobEntry> => checkVisible(await readEntry(address.id), address);

	/** Stores that a job without a submission is cancelled, so that one under way is refused. Returns false if it has been stored meanwhile. */
	const withdraw = async (address: JobAddress): Promise<boolean> => {
		const lease = await withdrawals.takeLease();
		try {
			const conflict = await transactUntilResolved({
				expected: [{key: jobKey(address.id, 'submission'), revision: 0}],
				writes: [{key: withdrawalKey(address), value: new Uint8Array(0), lease}],
			});
			if (conflict) {
				return false;
			}
		} catch (error) {
			withdrawals.dropLease();
			throw error;
		}

		metrics.count('jobs_withdrawn_total', {queue: address.queue.name});
		log.info('job-withdrawn', {job: address.id, queue: address.queue.name, customer: address.customer});
		return true;
	};

	/** The job to cancel. A job that is not stored is withdrawn. */
	const findToCancel = async (address: JobAddress): Promise<JobEntry> => {
		const entry = await readEntry(address.id);
		if (entry.job !== undefined || !isJobId(address.id)) {
			return checkVisible(entry, address);
		}

		if (await withdraw(address)) {
			throw noSuchJob(address.id);
		}

		return find(address);
	};

	return {
		async submit({queue, customer, submission}) {
			checkSubmission(submission);
			const {name, service, priority, attempts, stretch, targetLatencyMs, advice} = queue;
			const job: Job = {
				...submission,
				queue: name,
				service,
				priority,
				attempts,
				stretch,
				targetLatencyMs,
				advice,
				customer,
				acceptedMs: Date.now(),
			};
			if (health.isLost()) {
				metrics.count('jobs_refused_total', {queue: name, reason: 'store-lost'});
				throw storeUnavailable();
			}

			const item = await intake(queue, job);
			const stored = item && decodeJob(item.value);
			if (stored && !isSameSubmission(stored, job)) {
				throw new ServiceError(`job ${job.id} already exists with different content`, {
					code: 'conflict',
					verdict: 'not-run',
				});
			}

			metrics.count('jobs_accepted_total', {queue: name, customer, repeated: stored ? 'yes' : 'no'});
			log.info('job-accepted', {
				job: job.id,
				queue: name,
				customer,
				units: job.steps.reduce((sum, {count}) => sum + count, 0),
				repeated: stored !== undefined,
			});
		},
		state: async (address) => stateOf(await find(address)),
		async status(address) {
			const entry = await find(address);
			return {state: stateOf(entry), failure: entry.progress?.failure};
		},
		async cancel(address) {
			const entry = await findToCancel(address);
			if (entry.progress?.outcome) {
				throw noSuchJob(address.id);
			}

			if (entry.cancelRevision > 0) {
				return;
			}

			if (health.isLost()) {
				throw storeUnavailable();
			}

			const key = jobKey(address.id, 'cancellation');
			const conflict = await transactUntilResolved({
				expected: [
					{key: jobKey(address.id, 'submission'), revision: entry.jobRevision},
					{key, revision: 0},
				],
				writes: [{key, value: new Uint8Array(0)}],
			});
			if (conflict && !conflict.some((item) => item.key === key)) {
				throw noSuchJob(address.id);
			}

			log.info('job-cancel-stored', {job: address.id, queue: address.queue.name});
		},
		async countPending(queue) {
			if (health.isLost()) {
				throw storeUnavailable();
			}

			return readPending(queue.name);
		},
	};
};
