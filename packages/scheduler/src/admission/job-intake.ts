import {encodeJob, type Job} from '@bergamotgauge/jobs';
import {ServiceError, toServiceError} from '@bergamotgauge/model';
import type {KeyValueStore, StoredItem} from '@bergamotgauge/store';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import type {Transact} from '../callers/transact.js';
import {createWithdrawnError, withdrawalKeysAgainst} from '../callers/withdrawals.js';
import {jobKey} from '../keys.js';
import type {Queue} from '../types.js';
import {createRefusalError, type Admission} from './admission.js';
import type {Refusal} from './types.js';

export type JobIntakeOptions = Readonly<{
	store: KeyValueStore;
	/** Without it, all jobs are admitted. */
	admission: Admission | undefined;
	transact: Transact;
	log: Log;
	metrics: Metrics;
}>;

/** Stores a job that is admitted; returns the stored item if its id is in use. */
export type JobIntake = (queue: Queue, job: Job) => Promise<StoredItem | undefined>;

/**
Creates the intake of an instance.

@example
```ts
const intake = createJobIntake({store, admission, transact, log, metrics});
const known = await intake(queue, job);
```

@throws {ServiceError} with verdict `not-run` if the job is refused or was cancelled before; with `may-have-run` if its outcome is unknown.
*/
export const createJobIntake = ({store, admission, transact, log, metrics}: JobIntakeOptions): JobIntake => {
	/** Stores a job; returns the stored item if the id is in use. */
	const storeJob = async (queue: Queue, job: Job): Promise<StoredItem | undefined> => {
		const key = jobKey(job.id, 'submission');
		try {
			const current = await transact({
				expected: [
					{key, revision: 0},
					...withdrawalKeysAgainst({queue, customer: job.customer, id: job.id}).map((mark) => ({
						key: mark,
						revision: 0,
					})),
				],
				writes: [{key, value: encodeJob(job)}],
			});
			const item = current?.find((one) => one.key === key);
			if (current && !item) {
				throw createWithdrawnError(job.id);
			}

			if (item) {
				admission?.release(job);
			}

			return item;
		} catch (error) {
			if (toServiceError(error, 'may-have-run').verdict === 'not-run') {
				admission?.release(job);
			}

			throw error;
		}
	};

	/** Reads a job that would be refused: the response to an earlier submission may have been lost, and a refusal says that it never runs. */
	const readRefused = async (job: Job, refusal: Refusal): Promise<StoredItem> => {
		let item: StoredItem | undefined;
		try {
			item = await store.get(jobKey(job.id, 'submission'));
		} catch (error) {
			const message = 'whether the job was accepted before is unknown';
			throw new ServiceError(message, {
				code: 'deadline-exceeded',
				verdict: 'may-have-run',
				cause: toServiceError(error, 'may-have-run'),
			});
		}

		if (!item) {
			metrics.count('jobs_refused_total', {queue: job.queue, customer: job.customer, reason: refusal.reason});
			log.info('job-refused', {job: job.id, queue: job.queue, customer: job.customer, reason: refusal.reason});
			throw createRefusalError(refusal);
		}

		return item;
	};

	return async (queue, job) => {
		const refusal = admission?.admit(job);
		return refusal ? readRefused(job, refusal) : storeJob(queue, job);
	};
};
