import {sleep} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {KeyValueStore} from '@bergamotgauge/store';
import type {Log} from '@bergamotgauge/telemetry';
import {RETENTION_BATCH, RETENTION_INTERVAL_MS, RETENTION_MARGIN_MS} from './constants.js';
import type {Term} from './election.js';
import type {JobTable} from './job-table.js';
import {jobKey, LEADER_KEY} from './keys.js';
import type {Bounds} from './types.js';

export type RetentionOptions = Readonly<{
	store: KeyValueStore;
	table: JobTable;
	term: Term;
	bounds: Bounds;
	log: Log;
	signal: AbortSignal;
}>;

/** Removes the records of jobs whose retention period has passed. */
export const removeEndedJobs = async ({store, table, term, bounds, log, signal}: RetentionOptions): Promise<void> => {
	while (!signal.aborted) {
		await sleep(RETENTION_INTERVAL_MS, signal);
		const cutoffMs = Date.now() - bounds.stateRetentionMs - RETENTION_MARGIN_MS;
		const expiredIds = [...table.entries()]
			.filter(([, {progress}]) => progress?.endedMs !== undefined && progress.endedMs < cutoffMs)
			.map(([id]) => id)
			.slice(0, RETENTION_BATCH);
		if (expiredIds.length === 0 || !term.isValid()) {
			continue;
		}

		try {
			const {outcome} = await store.transact({
				expected: [{key: LEADER_KEY, revision: term.leaderRevision}],
				writes: [],
				removals: expiredIds.flatMap((id) => [
					jobKey(id, 'submission'),
					jobKey(id, 'progress'),
					jobKey(id, 'cancellation'),
				]),
			});
			if (outcome === 'applied') {
				log.info('records-removed', {jobs: expiredIds.length});
			} else {
				log.warn('records-not-removed', {jobs: expiredIds.length, error: outcome});
			}
		} catch (error) {
			log.warn('records-not-removed', {jobs: expiredIds.length, error: toServiceError(error, 'may-have-run').message});
		}
	}
};
