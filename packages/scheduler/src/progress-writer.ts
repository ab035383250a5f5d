import {decodeProgress} from '@bergamotgauge/jobs';
import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {ServiceError, toServiceError} from '@bergamotgauge/model';
import type {KeyValueStore, StoredItem} from '@bergamotgauge/store';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {LAZY_COMMIT_MS, REFUSED_RECORD_RETRY_MS, WATCH_RETRY_MAX_MS, WATCH_RETRY_MIN_MS} from './constants.js';
import {type ActiveJob} from './active-job.js';
import {overruleOutcome} from './job-outcome.js';
import type {Term} from './election.js';
import {jobKey, LEADER_KEY} from './keys.js';
import {createRecordBatches, type RecordWrite} from './record-batches.js';

/** Writes the progress of jobs to the store during a term. */
export type ProgressWriter = Readonly<{
	/** Resolves when the current changes of the jobs are stored; rejects if the term ends first. */
	store: (activeJobs: readonly ActiveJob[]) => Promise<void>;
	/** Schedules a write of the changes. */
	storeLater: (activeJob: ActiveJob) => void;
}>;

type PendingWrite = {changes: number; activeJob: ActiveJob; resolve: () => void; reject: (error: Error) => void};

export type ProgressWriterOptions = Readonly<{
	store: KeyValueStore;
	term: Term;
	log: Log;
	metrics: Metrics;
	/** Largest value that the store takes. */
	maxValueBytes: number;
	/** Called with the written items, so that this instance sees them before its watch does. */
	onStored: (items: readonly StoredItem[]) => void;
	/** Called when a cancellation that was stored first has replaced the outcome. */
	onCancelled: (activeJob: ActiveJob) => void;
}>;

/**
Creates the writer of a term. Changes of several jobs are batched into a transaction, which is applied only if this instance still holds the leader key and the stored progress is at the known revision.

A batch that the store refuses for good is split, so that each of its records is written by itself. A record that is refused alone is written without checkpoints, and if that is refused too, it is repeated at long intervals while the others go on.

@example
```ts
const writer = createProgressWriter({store, term, log, metrics, maxValueBytes, onStored: table.mergeWritten, onCancelled});
await writer.store([activeJob]);
```
*/
export const createProgressWriter = (options: ProgressWriterOptions): ProgressWriter => {
	const {store, term, log, metrics, maxValueBytes, onStored, onCancelled} = options;
	const dirty = new Set<ActiveJob>();
	/** Jobs whose outcome is known to be stored; a cancellation that is stored later does not change it. */
	const withStoredOutcome = new WeakSet<ActiveJob>();
	let pendingWrites: PendingWrite[] = [];
	let isWriting = false;
	let flushTimer: NodeJS.Timeout | undefined;
	let retryTimer: NodeJS.Timeout | undefined;
	const batches = createRecordBatches({log, metrics, maxValueBytes});

	const resolveStored = () => {
		const remaining: PendingWrite[] = [];
		for (const entry of pendingWrites) {
			if (entry.activeJob.storedChanges >= entry.changes) {
				entry.resolve();
			} else {
				remaining.push(entry);
			}
		}

		pendingWrites = remaining;
	};

	/** Whether the outcome may still be overruled by a cancellation. */
	const isOverrulable = (activeJob: ActiveJob): boolean =>
		activeJob.outcome !== undefined && activeJob.outcome !== 'cancelled' && !withStoredOutcome.has(activeJob);

	const recordConflict = (activeJob: ActiveJob, stored: StoredItem | undefined, isCancellationStored: boolean) => {
		// An earlier write of this term may have taken effect without a response, before the cancellation was stored.
		if (stored && decodeProgress(stored.value).outcome !== undefined) {
			withStoredOutcome.add(activeJob);
		}

		if (isCancellationStored && isOverrulable(activeJob)) {
			// The cancellation was confirmed to the caller before this outcome was stored, so it takes precedence.
			overruleOutcome(activeJob, Date.now());
			onCancelled(activeJob);
		}
	};

	const handleConflict = (batch: readonly RecordWrite[], current: readonly StoredItem[]) => {
		const byKey = new Map(current.map((item) => [item.key, item]));
		if (byKey.get(LEADER_KEY)?.revision !== term.leaderRevision) {
			term.abandon('another instance leads');
			return;
		}

		for (const {activeJob, key} of batch) {
			const stored = byKey.get(key);
			try {
				recordConflict(activeJob, stored, byKey.has(jobKey(activeJob.job.id, 'cancellation')));
				activeJob.progressRevision = stored?.revision ?? 0;
			} catch (error) {
				// A record that this version cannot read stays as it is.
				batches.hold(activeJob, error);
			}
		}
	};

	/** Returns whether the batch was applied; otherwise it has to be retried. */
	const writeBatch = async (batch: readonly RecordWrite[]): Promise<boolean> => {
		const ended = batch.filter(({activeJob}) => activeJob.outcome !== undefined);
		const result = await store.transact({
			expected: [
				{key: LEADER_KEY, revision: term.leaderRevision},
				...batch.map(({activeJob, key}) => ({key, revision: activeJob.progressRevision})),
				...batch
					.filter(({activeJob}) => isOverrulable(activeJob))
					.map(({activeJob}) => ({key: jobKey(activeJob.job.id, 'cancellation'), revision: 0})),
			],
			writes: batch.map(({key, value}) => ({key, value})),
		});
		if (result.outcome === 'conflict') {
			handleConflict(batch, result.current);
			return false;
		}

		if (result.outcome === 'lease-ended') {
			term.abandon('the lease has ended');
			return false;
		}

		for (const {activeJob} of ended) {
			withStoredOutcome.add(activeJob);
		}

		for (const {activeJob, changes} of batch) {
			activeJob.progressRevision = result.revision;
			activeJob.storedChanges = changes;
			batches.settle(activeJob);
			dirty.delete(activeJob);
			if (activeJob.changes !== activeJob.storedChanges) {
				// Those that have waited come first: a large record that keeps changing fills a batch by itself.
				dirty.add(activeJob);
			}
		}

		onStored(batch.map(({key, value}) => ({key, value, revision: result.revision, createRevision: 0, lease: 0})));
		resolveStored();
		return true;
	};

	const rejectAll = () => {
		const error = new ServiceError('the term has ended', {code: 'stale-token', verdict: 'may-have-run'});
		for (const entry of pendingWrites) {
			entry.reject(error);
		}

		pendingWrites = [];
		dirty.clear();
		clearTimeout(flushTimer);
		clearTimeout(retryTimer);
	};

	const flush = async () => {
		if (isWriting) {
			return;
		}

		isWriting = true;
		const backoff = createBackoff({minMs: WATCH_RETRY_MIN_MS, maxMs: WATCH_RETRY_MAX_MS});
		for (let batch = batches.next(dirty); batch.length > 0 && !term.signal.aborted; batch = batches.next(dirty)) {
			try {
				if (await writeBatch(batch)) {
					backoff.reset();
				} else {
					await sleep(backoff.next(), term.signal);
				}
			} catch (error_) {
				const error = toServiceError(error_, 'may-have-run');
				if (error.code === 'bad-request') {
					batches.refuse(batch, error);
					continue;
				}

				log.warn('progress-not-stored', {jobs: dirty.size, error: error.message});
				await sleep(backoff.next(), term.signal);
			}
		}

		isWriting = false;
		if (term.signal.aborted) {
			rejectAll();
		} else if (dirty.size > 0) {
			retryTimer ??= setTimeout(() => {
				retryTimer = undefined;
				void flush();
			}, REFUSED_RECORD_RETRY_MS);
		}
	};

	term.signal.addEventListener('abort', () => {
		if (!isWriting) {
			rejectAll();
		}
	});

	return {
		async store(activeJobs) {
			const pending = activeJobs
				.filter((activeJob) => activeJob.changes > activeJob.storedChanges)
				.map(
					async (activeJob) =>
						new Promise<void>((resolve, reject) => {
							dirty.add(activeJob);
							pendingWrites.push({activeJob, changes: activeJob.changes, resolve, reject});
						}),
				);
			void flush();
			await Promise.all(pending);
		},
		storeLater(activeJob) {
			dirty.add(activeJob);
			flushTimer ??= setTimeout(() => {
				flushTimer = undefined;
				void flush();
			}, LAZY_COMMIT_MS);
		},
	};
};
