import {sleep} from '@bergamotgauge/lifecycle';
import {ServiceError, toServiceError} from '@bergamotgauge/model';
import type {KeyValueStore} from '@bergamotgauge/store';
import type {Log} from '@bergamotgauge/telemetry';
import {
	PENDING_CACHE_MS,
	PENDING_TTL_MS,
	PENDING_VIEW_MAX_AGE_MS,
	PENDING_WRITE_MS,
	STORE_RETRY_AFTER_MS,
} from './constants.js';
import type {Term} from './election.js';
import {stateOf} from './job-entry.js';
import type {JobTable} from './job-table.js';
import {LEADER_KEY, PENDING_KEY} from './keys.js';

type Counts = Readonly<Record<string, number>>;

export type PendingOptions = Readonly<{
	store: KeyValueStore;
	table: JobTable;
	term: Term;
	log: Log;
	/** Time within which changes may be missing from the table. */
	viewAgeMs: () => number;
	signal: AbortSignal;
}>;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

const countPending = (table: JobTable): Counts => {
	const counts: Record<string, number> = {};
	for (const [, entry] of table.entries()) {
		if (entry.job && stateOf(entry) === 'queued') {
			counts[entry.job.queue] = (counts[entry.job.queue] ?? 0) + 1;
		}
	}

	return counts;
};

/**
Publishes the number of queued jobs by queue whenever it has changed, under a lease that is renewed only while the number is known to be current. A write that got no response may take effect later, so each write expects the revision of the one before.
*/
export const publishPendingCounts = async ({
	store,
	table,
	term,
	log,
	viewAgeMs,
	signal,
}: PendingOptions): Promise<void> => {
	/** The counts that are known to be stored; `undefined` when the stored ones are not known. */
	let published: string | undefined;
	let revision = 0;
	let lease: number | undefined;

	const write = async (text: string) => {
		if (lease === undefined) {
			({lease} = await store.grantLease(PENDING_TTL_MS));
		}

		const result = await store.transact({
			expected: [
				{key: LEADER_KEY, revision: term.leaderRevision},
				{key: PENDING_KEY, revision},
			],
			writes: [{key: PENDING_KEY, value: encoder.encode(text), lease}],
		});
		if (result.outcome === 'applied') {
			published = text;
			revision = result.revision;
		} else if (result.outcome === 'conflict') {
			revision = result.current.find(({key}) => key === PENDING_KEY)?.revision ?? 0;
		} else {
			lease = undefined;
		}
	};

	/** Renews the lease of the published counts, which are current. */
	const renew = async () => {
		if (lease !== undefined && !(await store.renewLease(lease))) {
			lease = undefined;
			published = undefined;
		}
	};

	while (!signal.aborted) {
		if (term.isValid() && viewAgeMs() <= PENDING_VIEW_MAX_AGE_MS) {
			const text = JSON.stringify(countPending(table));
			try {
				if (text !== published) {
					published = undefined;
					await write(text);
				}

				if (published === undefined) {
					// The first write of a term conflicts with the counts of the leader before, and has now read their revision.
					await write(text);
				}

				if (text === published) {
					await renew();
				}
			} catch (error) {
				log.debug('pending-not-stored', {error: toServiceError(error, 'may-have-run').message});
			}
		}

		await sleep(PENDING_WRITE_MS, signal);
	}
};

/**
Creates the reader of the published counts; concurrent reads share one store call.

@example
```ts
const readPending = createPendingReader(store, clocks.latestNow);
const pending = await readPending('queue-1');
```

@throws {ServiceError} `store-unavailable` when no leader has confirmed the counts lately.
*/
export const createPendingReader = (store: KeyValueStore, now: () => number) => {
	let readMs = Number.NEGATIVE_INFINITY;
	let counts: Promise<Counts> | undefined;

	const read = async (): Promise<Counts> => {
		const item = await store.get(PENDING_KEY);
		if (!item) {
			throw new ServiceError('the pending jobs have not been counted lately', {
				code: 'store-unavailable',
				verdict: 'not-run',
				retryAfterMs: STORE_RETRY_AFTER_MS,
			});
		}

		return JSON.parse(decoder.decode(item.value)) as Counts;
	};

	return async (queue: string): Promise<number> => {
		if (!counts || now() - readMs > PENDING_CACHE_MS) {
			readMs = now();
			counts = read();
		}

		try {
			const current = await counts;
			return current[queue] ?? 0;
		} catch (error) {
			counts = undefined;
			throw error;
		}
	};
};
