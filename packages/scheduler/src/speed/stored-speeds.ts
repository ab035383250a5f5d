import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {KeyValueStore, StoredItem} from '@bergamotgauge/store';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {WATCH_RETRY_MAX_MS, WATCH_RETRY_MIN_MS} from '../constants.js';
import type {Term} from '../election.js';
import {LEADER_KEY, SPEEDS_KEY} from '../keys.js';
import {
	MAX_DEVIATION,
	MAX_STORED_SPEEDS,
	MIN_PRUNED_SPEEDS,
	PRUNE_FACTOR,
	SPEED_PRIOR_VARIANCE,
	SPEED_WRITE_MS,
} from './constants.js';
import type {SpeedEstimate, WorkerSpeeds} from './worker-speeds.js';

export type StoredSpeedsOptions = Readonly<{
	store: KeyValueStore;
	term: Pick<Term, 'isValid' | 'leaderRevision'>;
	speeds: WorkerSpeeds;
	/** Listed workers, by id. */
	directory: ReadonlyMap<string, unknown>;
	log: Log;
	metrics: Metrics;
	signal: AbortSignal;
}>;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Three digits are finer than any estimate. */
const round = (value: number): number => Math.round(value * 1000) / 1000;

/** Encodes the estimates, the most certain ones first, at most `MAX_STORED_SPEEDS`. */
export const encodeSpeeds = (estimates: ReadonlyMap<string, SpeedEstimate>): Uint8Array => {
	const rows = [...estimates]
		.toSorted(([, a], [, b]) => a.variance - b.variance)
		.slice(0, MAX_STORED_SPEEDS)
		.map(([workerId, {mean, variance}]) => [workerId, round(mean), round(variance)]);
	return encoder.encode(JSON.stringify(rows));
};

/** Observed means and variances stay within these limits; others would spoil the mean of the fleet. */
const isRow = (row: unknown): row is [string, number, number] => {
	const [workerId, mean, variance] = (Array.isArray(row) ? row : []) as unknown[];
	return (
		typeof workerId === 'string' &&
		typeof mean === 'number' &&
		Math.abs(mean) <= MAX_DEVIATION &&
		typeof variance === 'number' &&
		variance > 0 &&
		variance <= SPEED_PRIOR_VARIANCE
	);
};

/**
Decodes stored estimates. Rows that are not usable are left out, since the estimates only make placement better.

@throws {SyntaxError} if the record is not JSON.
*/
export const decodeSpeeds = (value: Uint8Array): ReadonlyMap<string, SpeedEstimate> => {
	const rows: unknown = JSON.parse(decoder.decode(value));
	return new Map(
		(Array.isArray(rows) ? rows : [])
			.filter((row) => isRow(row))
			.map(([workerId, mean, variance]) => [workerId, {mean, variance}]),
	);
};

/**
Takes over the estimates of earlier leaders and stores those of this one while its term lasts, at most one write each `SPEED_WRITE_MS` and none while nothing changes or all workers are equally fast. A record that cannot be read is logged and replaced.

@example
```ts
lifecycle.run('speeds', async (signal) => keepSpeeds({store, term, speeds: state.workerSpeeds, directory: state.directory, log, metrics, signal}));
```
*/
export const keepSpeeds = async (options: StoredSpeedsOptions): Promise<void> => {
	const {store, term, speeds, directory, log, metrics, signal} = options;
	let revision = 0;
	let stored = '';

	const restore = (item: StoredItem | undefined) => {
		revision = item?.revision ?? 0;
		if (!item) {
			return;
		}

		stored = decoder.decode(item.value);
		try {
			const estimates = decodeSpeeds(item.value);
			speeds.restore(estimates);
			log.info('speeds-restored', {workers: estimates.size});
		} catch (error) {
			log.warn('speeds-unreadable', {error: String(error)});
		}
	};

	let largestFleet = 0;
	/** Workers that have left are forgotten late, since a store outage removes the entries of workers that go on, and a new leader has listed none yet. */
	const prune = () => {
		largestFleet = Math.max(largestFleet, directory.size);
		const isFleetListed = directory.size > 0 && directory.size >= largestFleet / PRUNE_FACTOR;
		if (isFleetListed && speeds.estimates().size > PRUNE_FACTOR * largestFleet + MIN_PRUNED_SPEEDS) {
			speeds.keepOnly((workerId) => directory.has(workerId));
		}
	};

	let reported = '0 0';
	/** Reports the differences and returns whether there are any. */
	const report = (): boolean => {
		const {slower, faster} = speeds.countDiffering();
		metrics.gauge('workers_slower', slower);
		metrics.gauge('workers_faster', faster);
		const counts = `${slower} ${faster}`;
		if (counts !== reported) {
			log.info('worker-speeds', {known: speeds.estimates().size, slower, faster});
			reported = counts;
		}

		return slower + faster > 0;
	};

	const write = async () => {
		const value = encodeSpeeds(speeds.estimates());
		const text = decoder.decode(value);
		if (text === stored || !term.isValid()) {
			return;
		}

		const result = await store.transact({
			expected: [
				{key: LEADER_KEY, revision: term.leaderRevision},
				{key: SPEEDS_KEY, revision},
			],
			writes: [{key: SPEEDS_KEY, value}],
		});
		if (result.outcome === 'applied') {
			revision = result.revision;
			stored = text;
		} else if (result.outcome === 'conflict') {
			// An earlier write may have taken effect without a response.
			revision = result.current.find(({key}) => key === SPEEDS_KEY)?.revision ?? 0;
		}
	};

	const backoff = createBackoff({minMs: WATCH_RETRY_MIN_MS, maxMs: WATCH_RETRY_MAX_MS});
	let isRead = false;
	while (!signal.aborted) {
		try {
			if (!isRead) {
				restore(await store.get(SPEEDS_KEY));
				isRead = true;
			}

			prune();
			// A difference that has ended is stored once more, so that the next leader does not take it over.
			if (report() || stored !== '') {
				await write();
			}

			backoff.reset();

			await sleep(SPEED_WRITE_MS, signal);
		} catch (error) {
			log.debug('speeds-not-stored', {error: toServiceError(error, 'may-have-run').message});
			await sleep(backoff.next(), signal);
		}
	}
};
