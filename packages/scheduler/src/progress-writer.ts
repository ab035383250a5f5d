import {encodeProgress} from '@bergamotgauge/jobs';
import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {ServiceError, toServiceError} from '@bergamotgauge/model';
import type {KeyValueStore, StoredItem} from '@bergamotgauge/store';
import type {Log} from '@bergamotgauge/telemetry';
import {COMMIT_BATCH, LAZY_COMMIT_MS, WATCH_RETRY_MAX_MS, WATCH_RETRY_MIN_MS} from './constants.js';
import {overruleOutcome, progressOf, type JobRun} from './job-run.js';
import type {Term} from './election.js';
import {jobKey, LEADER_KEY} from './keys.js';

/** Writes the progress of jobs to the store during a term. */
export type ProgressWriter = Readonly<{
	/** Resolves when the current changes of the jobs are stored; rejects if the term ends first. */
	store: (runs: readonly JobRun[]) => Promise<void>;
	/** Schedules a write of the changes. */
	storeLater: (run: JobRun) => void;
}>;

type PendingWrite = {changes: number; run: JobRun; resolve: () => void; reject: (error: Error) => void};

export type ProgressWriterOptions = Readonly<{
	store: KeyValueStore;
	term: Term;
	log: Log;
	/** Called with the written items, so that this instance sees them before its watch does. */
	onStored: (items: readonly StoredItem[]) => void;
	/** Called when a cancellation that was stored first has replaced the outcome. */
	onCancelled: (run: JobRun) => void;
}>;

/**
Creates the writer of a term. Changes of several jobs are batched into a transaction, which is applied only if this instance still holds the leader key and the stored progress is at the known revision.

@example
```ts
const writer = createProgressWriter({store, term, log, onStored: table.mergeWritten, onCancelled});
await writer.store([run]);
```
*/
export const createProgressWriter = (options: ProgressWriterOptions): ProgressWriter => {
	const {store, term, log, onStored, onCancelled} = options;
	const dirty = new Set<JobRun>();
	let pendingWrites: PendingWrite[] = [];
	let isWriting = false;
	let flushTimer: NodeJS.Timeout | undefined;

	const resolveStored = () => {
		const remaining: PendingWrite[] = [];
		for (const entry of pendingWrites) {
			if (entry.run.storedChanges >= entry.changes) {
				entry.resolve();
			} else {
				remaining.push(entry);
			}
		}

		pendingWrites = remaining;
	};

	const handleConflict = (batch: readonly JobRun[], current: readonly StoredItem[]) => {
		const byKey = new Map(current.map((item) => [item.key, item]));
		if (byKey.get(LEADER_KEY)?.revision !== term.leaderRevision) {
			term.abandon('another instance leads');
			return;
		}

		for (const run of batch) {
			run.progressRevision = byKey.get(jobKey(run.job.id, 'progress'))?.revision ?? 0;
			const isOverruled = run.outcome !== undefined && run.outcome !== 'cancelled';
			if (byKey.has(jobKey(run.job.id, 'cancellation')) && isOverruled) {
				// The cancellation was confirmed to the caller before this outcome was stored, so it takes precedence.
				overruleOutcome(run, Date.now());
				onCancelled(run);
			}
		}
	};

	/** Returns whether the batch was applied; otherwise it has to be retried. */
	const writeBatch = async (batch: readonly JobRun[]): Promise<boolean> => {
		const changes = new Map(batch.map((run) => [run, run.changes]));
		const writes = batch.map((run) => ({key: jobKey(run.job.id, 'progress'), value: encodeProgress(progressOf(run))}));
		const result = await store.transact({
			expected: [
				{key: LEADER_KEY, revision: term.leaderRevision},
				...batch.map((run) => ({key: jobKey(run.job.id, 'progress'), revision: run.progressRevision})),
				...batch
					.filter(({outcome}) => outcome !== undefined && outcome !== 'cancelled')
					.map(({job}) => ({key: jobKey(job.id, 'cancellation'), revision: 0})),
			],
			writes,
		});
		if (result.outcome === 'conflict') {
			handleConflict(batch, result.current);
			return false;
		}

		if (result.outcome === 'lease-ended') {
			term.abandon('the lease has ended');
			return false;
		}

		for (const run of batch) {
			run.progressRevision = result.revision;
			run.storedChanges = changes.get(run)!;
			if (run.changes === run.storedChanges) {
				dirty.delete(run);
			}
		}

		onStored(writes.map(({key, value}) => ({key, value, revision: result.revision, createRevision: 0, lease: 0})));
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
	};

	const flush = async () => {
		if (isWriting) {
			return;
		}

		isWriting = true;
		const backoff = createBackoff({minMs: WATCH_RETRY_MIN_MS, maxMs: WATCH_RETRY_MAX_MS});
		while (dirty.size > 0 && !term.signal.aborted) {
			try {
				if (await writeBatch([...dirty].slice(0, COMMIT_BATCH))) {
					backoff.reset();
				} else {
					await sleep(backoff.next(), term.signal);
				}
			} catch (error) {
				log.warn('progress-not-stored', {jobs: dirty.size, error: toServiceError(error, 'may-have-run').message});
				await sleep(backoff.next(), term.signal);
			}
		}

		isWriting = false;
		if (term.signal.aborted) {
			rejectAll();
		}
	};

	term.signal.addEventListener('abort', () => {
		if (!isWriting) {
			rejectAll();
		}
	});

	return {
		async store(runs) {
			const pending = runs
				.filter((run) => run.changes > run.storedChanges)
				.map(
					async (run) =>
						new Promise<void>((resolve, reject) => {
							dirty.add(run);
							pendingWrites.push({run, changes: run.changes, resolve, reject});
						}),
				);
			void flush();
			await Promise.all(pending);
		},
		storeLater(run) {
			dirty.add(run);
			flushTimer ??= setTimeout(() => {
				flushTimer = undefined;
				void flush();
			}, LAZY_COMMIT_MS);
		},
	};
};
