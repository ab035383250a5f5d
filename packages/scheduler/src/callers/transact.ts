import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {ServiceError, toServiceError} from '@bergamotgauge/model';
import type {KeyValueStore, StoredItem, Transaction} from '@bergamotgauge/store';
import type {Clocks} from '../clocks.js';
import {RESOLVE_RETRY_MAX_MS, RESOLVE_RETRY_MIN_MS, SUBMIT_RESOLVE_MS} from '../constants.js';
import {createUnavailableError} from './job-reader.js';

/** Retries a transaction until its outcome is known. Resolves to the current items on a conflict and to `undefined` if it was applied. */
export type Transact = (transaction: Transaction) => Promise<readonly StoredItem[] | undefined>;

/**
Creates the transactions of callers' requests.

@example
```ts
const transact = createTransact(store, health.clocks);
const conflict = await transact({expected: [{key: 'a', revision: 0}], writes: [{key: 'a', value}]});
```

A transaction fails with verdict `not-run` if its first attempt has failed so, and with `deadline-exceeded`, verdict `may-have-run`, if its outcome is still unknown after `SUBMIT_RESOLVE_MS`.
*/
export const createTransact =
	(store: KeyValueStore, {latestNow}: Clocks): Transact =>
	async (transaction) => {
		// The mark of a cancellation may end while the machine is suspended, so the time of a suspension counts.
		const deadlineMs = latestNow() + SUBMIT_RESOLVE_MS;
		const backoff = createBackoff({minMs: RESOLVE_RETRY_MIN_MS, maxMs: RESOLVE_RETRY_MAX_MS});
		let failure: ServiceError | undefined;
		// The last attempt is made at the deadline; a machine that is much later has been suspended.
		while (failure === undefined || latestNow() < deadlineMs + RESOLVE_RETRY_MAX_MS) {
			try {
				const result = await store.transact(transaction);
				if (result.outcome === 'lease-ended') {
					throw createUnavailableError();
				}

				return result.outcome === 'conflict' ? result.current : undefined;
			} catch (error_) {
				const error = toServiceError(error_, 'may-have-run');
				if (failure === undefined && error.verdict !== 'may-have-run') {
					throw error;
				}

				failure = error;
				if (latestNow() >= deadlineMs) {
					break;
				}

				await sleep(Math.min(backoff.next(), deadlineMs - latestNow()));
			}
		}

		throw new ServiceError(`the outcome of the request is unknown: ${failure.message}`, {
			code: 'deadline-exceeded',
			verdict: 'may-have-run',
			cause: failure,
		});
	};
