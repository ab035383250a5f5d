import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {KeyValueStore, StoredItem} from '@bergamotgauge/store';
import type {Log} from '@bergamotgauge/telemetry';
import {workersOfEnds, type ActiveJob, type Part} from './active-job.js';
import {WATCH_RETRY_MAX_MS, WATCH_RETRY_MIN_MS} from './constants.js';
import {ROSTER_KEY} from './keys.js';
import {allPlacedUnits, type LeaderState} from './leader-state.js';
import {partIdOf} from './plan-view.js';
import type {Worker} from './types.js';

/** What a later leader has to know about a worker. */
export type RosterEntry = Readonly<{
	worker: Worker;
	/** Parts that may run, or have ended, on a worker that gets no more orders; `undefined` for a worker that may still get orders. */
	partIds?: readonly string[];
}>;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

export const encodeRoster = (entries: readonly RosterEntry[]): Uint8Array => encoder.encode(JSON.stringify(entries));

export const decodeRoster = (value: Uint8Array): readonly RosterEntry[] =>
	JSON.parse(decoder.decode(value)) as readonly RosterEntry[];

/**
Parts that a later leader has to expect on each of the workers: those with units there, and those with ends there that may not be stored yet, since the worker lists these again. One pass over the jobs for all workers, since many may stop getting orders at the same time.

@example
```ts
const partIds = partIdsByWorker(state, new Set([link.worker.id])).get(link.worker.id);
```
*/
export const partIdsByWorker = (
	state: LeaderState,
	workerIds: ReadonlySet<string>,
): ReadonlyMap<string, ReadonlySet<string>> => {
	const idsByWorker = new Map([...workerIds].map((id) => [id, new Set<string>()]));
	if (idsByWorker.size === 0) {
		return idsByWorker;
	}

	const add = (workerId: string, activeJob: ActiveJob, part: Part) => {
		idsByWorker.get(workerId)?.add(partIdOf(activeJob, part));
	};

	for (const {activeJob, part, placement} of allPlacedUnits(state)) {
		add(placement.workerId, activeJob, part);
	}

	for (const activeJob of state.activeJobs.values()) {
		if (activeJob.storedChanges !== activeJob.changes) {
			for (const part of [...activeJob.parts.values(), ...activeJob.settledParts.values()]) {
				for (const workerId of workersOfEnds(part)) {
					add(workerId, activeJob, part);
				}
			}
		}
	}

	return idsByWorker;
};

/**
Reads the roster, again with backoff after each failure; `undefined` if there is none or the signal has aborted.

@example
```ts
const roster = await readRoster({store, log, signal: term.signal});
```
*/
export const readRoster = async ({
	store,
	log,
	signal,
}: Readonly<{store: KeyValueStore; log: Log; signal: AbortSignal}>): Promise<StoredItem | undefined> => {
	const backoff = createBackoff({minMs: WATCH_RETRY_MIN_MS, maxMs: WATCH_RETRY_MAX_MS});
	while (!signal.aborted) {
		try {
			return await store.get(ROSTER_KEY);
		} catch (error) {
			log.warn('roster-not-read', {error: toServiceError(error, 'may-have-run').message});
			await sleep(backoff.next(), signal);
		}
	}

	return undefined;
};
