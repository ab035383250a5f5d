import {toServiceError, type ServiceError} from '@bergamotgauge/model';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import type {ActiveJob} from './active-job.js';
import {COMMIT_BATCH, REFUSED_RECORD_RETRY_MS} from './constants.js';
import {progressOf} from './job-outcome.js';
import {jobKey} from './keys.js';
import {fitProgress} from './progress-record.js';

/** The record of a job as it is about to be written. */
export type RecordWrite = Readonly<{activeJob: ActiveJob; changes: number; key: string; value: Uint8Array}>;

export type RecordBatchesOptions = Readonly<{
	log: Log;
	metrics: Metrics;
	/** Largest value that the store takes. */
	maxValueBytes: number;
}>;

/** Chooses the records that are written together, so that none that the store refuses holds up another. */
export type RecordBatches = Readonly<{
	/** The records to write next; none if all jobs that have changed are held. */
	next: (dirty: Iterable<ActiveJob>) => readonly RecordWrite[];
	/** Records that the store will never take the batch as it is. */
	refuse: (batch: readonly RecordWrite[], error: ServiceError) => void;
	/** Repeats the write of a job later. */
	hold: (activeJob: ActiveJob, error: unknown) => void;
	/** Records that a write of the job was applied. */
	settle: (activeJob: ActiveJob) => void;
}>;

/**
Creates the batches of a term.

The records of a refused batch are written one by one, a record that is refused alone is written without checkpoints, and a job whose record is refused in that form too is held for `REFUSED_RECORD_RETRY_MS`.

@example
```ts
const batches = createRecordBatches({log, metrics, maxValueBytes: 1_048_576});
const batch = batches.next(dirty);
```
*/
export const createRecordBatches = ({log, metrics, maxValueBytes}: RecordBatchesOptions): RecordBatches => {
	/** Jobs of a batch that was refused, which are written alone. */
	const suspects = new WeakSet<ActiveJob>();
	/** Jobs whose records were refused alone, which are written without checkpoints. */
	const reduced = new WeakSet<ActiveJob>();
	/** Jobs of which a checkpoint was left out; logged once each. */
	const trimmed = new WeakSet<ActiveJob>();
	/** Jobs whose records were refused in each form, with the time of the next attempt. */
	const heldUntilMs = new WeakMap<ActiveJob, number>();

	const hold = (activeJob: ActiveJob, error: unknown) => {
		heldUntilMs.set(activeJob, performance.now() + REFUSED_RECORD_RETRY_MS);
		metrics.count('progress_records_held_total');
		log.error('record-held', {
			job: activeJob.job.id,
			retryMs: REFUSED_RECORD_RETRY_MS,
			error: toServiceError(error, 'not-run').message,
		});
	};

	const refuse = (batch: readonly RecordWrite[], error: ServiceError) => {
		metrics.count('progress_batches_refused_total');
		log.warn('batch-refused', {
			jobs: batch.map(({activeJob}) => activeJob.job.id).join(','),
			bytes: batch.reduce((sum, {value}) => sum + value.length, 0),
			error: error.message,
		});
		const [first] = batch;
		if (batch.length > 1) {
			for (const {activeJob} of batch) {
				suspects.add(activeJob);
			}
		} else if (first && reduced.has(first.activeJob)) {
			hold(first.activeJob, error);
		} else if (first) {
			reduced.add(first.activeJob);
		}
	};

	const encodeRecord = (activeJob: ActiveJob): RecordWrite => {
		const {changes} = activeJob;
		const {value, omittedCheckpoints} = fitProgress(progressOf(activeJob), reduced.has(activeJob) ? 0 : maxValueBytes);
		if (omittedCheckpoints > 0 && !trimmed.has(activeJob)) {
			trimmed.add(activeJob);
			metrics.count('progress_records_trimmed_total');
			log.warn('checkpoints-not-stored', {job: activeJob.job.id, bytes: value.length, parts: omittedCheckpoints});
		}

		return {activeJob, changes, key: jobKey(activeJob.job.id, 'progress'), value};
	};

	const next = (dirty: Iterable<ActiveJob>): readonly RecordWrite[] => {
		const batch: RecordWrite[] = [];
		let bytes = 0;
		for (const activeJob of dirty) {
			if ((heldUntilMs.get(activeJob) ?? 0) > performance.now()) {
				continue;
			}

			const isAlone = suspects.has(activeJob);
			if (batch.length === COMMIT_BATCH || (isAlone && batch.length > 0)) {
				break;
			}

			let write: RecordWrite;
			try {
				write = encodeRecord(activeJob);
			} catch (error) {
				hold(activeJob, error);
				continue;
			}

			bytes += write.value.length;
			if (batch.length > 0 && bytes > maxValueBytes) {
				break;
			}

			batch.push(write);
			if (isAlone) {
				break;
			}
		}

		return batch;
	};

	return {
		next,
		refuse,
		hold,
		settle(activeJob) {
			suspects.delete(activeJob);
			heldUntilMs.delete(activeJob);
		},
	};
};
