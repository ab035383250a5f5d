import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {KeyValueStore, StoredItem} from '@bergamotgauge/store';
import type {Log} from '@bergamotgauge/telemetry';
import {WATCH_RETRY_MAX_MS, WATCH_RETRY_MIN_MS} from './constants.js';
import {ROSTER_KEY} from './keys.js';

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
