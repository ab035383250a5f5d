import {ServiceError} from '@bergamotgauge/model';
import type {KeyValueStore} from '@bergamotgauge/store';
import {LRUCache} from 'lru-cache';
import {ENDED_CACHE_ENTRIES, STORE_RETRY_AFTER_MS} from '../constants.js';
import {EMPTY_ENTRY, mergeRecord, type JobEntry} from '../job-entry.js';
import {jobPrefix} from '../keys.js';
import type {StoreHealth} from '../store-health.js';
import type {Bounds} from '../types.js';
import type {JobAddress} from './types.js';

export type JobReaderOptions = Readonly<{
	store: KeyValueStore;
	health: StoreHealth;
	bounds: Pick<Bounds, 'stateRetentionMs'>;
}>;

/** Reads stored jobs for callers. */
export type JobReader = Readonly<{
	/** Reads the records of a job from the store. */
	read: (id: string) => Promise<JobEntry>;
	/** Reads a job that the caller may see; an ended one may come from a cache. */
	findVisible: (address: JobAddress) => Promise<JobEntry>;
}>;

export const createNotFoundError = (id: string): ServiceError =>
	new ServiceError(`there is no job ${id}`, {code: 'not-found', verdict: 'not-run', status: 410});

export const createUnavailableError = (): ServiceError =>
	new ServiceError('the store does not answer', {
		code: 'store-unavailable',
		verdict: 'not-run',
		retryAfterMs: STORE_RETRY_AFTER_MS,
	});

/**
The entry, if the caller may see its job.

@example
```ts
const {jobRevision} = requireVisible(await reader.read(address.id), address);
```

@throws {ServiceError} `not-found` with verdict `not-run` when there is no such job, or it is in another queue or of another customer.
*/
export const requireVisible = (entry: JobEntry, {queue, customer, id}: JobAddress): JobEntry => {
	const isVisible = entry.job?.queue === queue.name && (queue.isPublic || entry.job.customer === customer);
	if (!isVisible) {
		throw createNotFoundError(id);
	}

	return entry;
};

/**
Creates the reader of an instance.

@example
```ts
const reader = createJobReader({store, health, bounds});
const {progress} = await reader.findVisible({queue, customer: 'acme', id: '5c0e7a21d94b36f8'});
```

Both operations throw `store-unavailable` with verdict `not-run` when they need the store while contact with it is lost.
*/
export const createJobReader = ({store, health, bounds}: JobReaderOptions): JobReader => {
	/** Ended jobs, which are immutable while they are stored; another job may have the id after that. */
	const ended = new LRUCache<string, JobEntry>({max: ENDED_CACHE_ENTRIES, perf: {now: health.clocks.latestNow}});

	const read = async (id: string): Promise<JobEntry> => {
		if (health.isLost()) {
			throw createUnavailableError();
		}

		const {items} = await store.list(jobPrefix(id));
		let entry = EMPTY_ENTRY;
		for (const item of items) {
			entry = mergeRecord(entry, item);
		}

		const {outcome, endedMs} = entry.progress ?? {};
		if (outcome) {
			// The margin of the retention exceeds the differences between the clocks of instances.
			const ttl = (endedMs ?? 0) + bounds.stateRetentionMs - Date.now();
			if (ttl > 0) {
				ended.set(id, entry, {ttl});
			}
		}

		return entry;
	};

	return {
		read,
		findVisible: async (address) => requireVisible(ended.get(address.id) ?? (await read(address.id)), address),
	};
};
