import {isJobId} from '@bergamotgauge/jobs';
import {ServiceError} from '@bergamotgauge/model';
import type {KeyValueStore} from '@bergamotgauge/store';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {STORE_RETRY_AFTER_MS} from '../constants.js';
import type {JobEntry} from '../job-entry.js';
import {jobKey} from '../keys.js';
import type {StoreHealth} from '../store-health.js';
import {CANCEL_ATTEMPTS} from './constants.js';
import {createNotFoundError, createUnavailableError, requireVisible, type JobReader} from './job-reader.js';
import type {Transact} from './transact.js';
import type {JobAddress} from './types.js';
import {createWithdrawals, withdrawalKey} from './withdrawals.js';

export type CancellationOptions = Readonly<{
	store: KeyValueStore;
	health: StoreHealth;
	reader: JobReader;
	transact: Transact;
	log: Log;
	metrics: Metrics;
}>;

type AttemptOutcome =
	| 'cancelled'
	/** There is no such job, or it has ended. */
	| 'no-job'
	/** The job was stored, removed or replaced after it was read. */
	| 'changed';

/**
Creates the function that cancels a job.

@example
```ts
const cancel = createCancellation({store, health, reader, transact, log, metrics});
await cancel({queue, customer: 'acme', id: '5c0e7a21d94b36f8'});
```

It resolves when the cancellation is stored. For a job that is not stored it throws `not-found`, and a submission that is still under way is refused. It throws `overloaded`, verdict `not-run`, when the job was replaced by another one during each of `CANCEL_ATTEMPTS` attempts.
*/
export const createCancellation = (options: CancellationOptions): ((address: JobAddress) => Promise<void>) => {
	const {store, health, reader, transact, log, metrics} = options;
	const withdrawals = createWithdrawals(store, health.clocks.latestNow);

	/** Stores that a job without a submission is cancelled, so that one under way is refused. */
	const withdraw = async (address: JobAddress): Promise<AttemptOutcome> => {
		const lease = await withdrawals.takeLease();
		try {
			const conflict = await transact({
				expected: [{key: jobKey(address.id, 'submission'), revision: 0}],
				writes: [{key: withdrawalKey(address), value: new Uint8Array(0), lease}],
			});
			if (conflict) {
				return 'changed';
			}
		} catch (error) {
			withdrawals.dropLease();
			throw error;
		}

		metrics.count('jobs_withdrawn_total', {queue: address.queue.name});
		log.info('job-withdrawn', {job: address.id, queue: address.queue.name, customer: address.customer});
		return 'no-job';
	};

	const cancelStored = async (
		address: JobAddress,
		{progress, cancelRevision, jobRevision}: JobEntry,
	): Promise<AttemptOutcome> => {
		if (progress?.outcome) {
			return 'no-job';
		}

		if (cancelRevision > 0) {
			return 'cancelled';
		}

		if (health.isLost()) {
			throw createUnavailableError();
		}

		const key = jobKey(address.id, 'cancellation');
		const conflict = await transact({
			expected: [
				{key: jobKey(address.id, 'submission'), revision: jobRevision},
				{key, revision: 0},
			],
			writes: [{key, value: new Uint8Array(0)}],
		});
		if (conflict && !conflict.some((item) => item.key === key)) {
			return 'changed';
		}

		log.info('job-cancel-stored', {job: address.id, queue: address.queue.name});
		return 'cancelled';
	};

	const attempt = async (address: JobAddress): Promise<AttemptOutcome> => {
		const entry = await reader.read(address.id);
		if (entry.job === undefined) {
			return isJobId(address.id) ? withdraw(address) : 'no-job';
		}

		return cancelStored(address, requireVisible(entry, address));
	};

	return async (address) => {
		for (let attempts = 1; attempts <= CANCEL_ATTEMPTS; attempts += 1) {
			const outcome = await attempt(address);
			if (outcome === 'cancelled') {
				return;
			}

			if (outcome === 'no-job') {
				throw createNotFoundError(address.id);
			}
		}

		throw new ServiceError(`job ${address.id} was replaced by another one each time that it was to be cancelled`, {
			code: 'overloaded',
			verdict: 'not-run',
			retryAfterMs: STORE_RETRY_AFTER_MS,
		});
	};
};
