import {isJobId} from '@bergamotgauge/jobs';
import type {KeyValueStore} from '@bergamotgauge/store';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import type {JobEntry} from '../job-entry.js';
import {jobKey} from '../keys.js';
import type {StoreHealth} from '../store-health.js';
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

/**
Creates the function that cancels a job.

@example
```ts
const cancel = createCancellation({store, health, reader, transact, log, metrics});
await cancel({queue, customer: 'acme', id: '5c0e7a21d94b36f8'});
```

It resolves when the cancellation is stored. For a job that is not stored it throws `not-found`, and a submission that is still under way is refused.
*/
export const createCancellation = (options: CancellationOptions): ((address: JobAddress) => Promise<void>) => {
	const {store, health, reader, transact, log, metrics} = options;
	const withdrawals = createWithdrawals(store, health.clocks.latestNow);

	/** Stores that a job without a submission is cancelled, so that one under way is refused. Returns false if it has been stored meanwhile. */
	const withdraw = async (address: JobAddress): Promise<boolean> => {
		const lease = await withdrawals.takeLease();
		try {
			const conflict = await transact({
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
		const entry = await reader.read(address.id);
		if (entry.job !== undefined || !isJobId(address.id)) {
			return requireVisible(entry, address);
		}

		if (await withdraw(address)) {
			throw createNotFoundError(address.id);
		}

		return requireVisible(await reader.read(address.id), address);
	};

	return async (address) => {
		const entry = await findToCancel(address);
		if (entry.progress?.outcome) {
			throw createNotFoundError(address.id);
		}

		if (entry.cancelRevision > 0) {
			return;
		}

		if (health.isLost()) {
			throw createUnavailableError();
		}

		const key = jobKey(address.id, 'cancellation');
		const conflict = await transact({
			expected: [
				{key: jobKey(address.id, 'submission'), revision: entry.jobRevision},
				{key, revision: 0},
			],
			writes: [{key, value: new Uint8Array(0)}],
		});
		if (conflict && !conflict.some((item) => item.key === key)) {
			throw createNotFoundError(address.id);
		}

		log.info('job-cancel-stored', {job: address.id, queue: address.queue.name});
	};
};
