import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import {
	MIN_RENEWAL_INTERVAL_MS,
	RENEWAL_GRACE_MS,
	RENEWAL_WAIT_MS,
	WORKER_RETRY_MAX_MS,
	WORKER_RETRY_MS,
} from './constants.js';
import type {ReportedEnds} from './reported-ends.js';
import {createSendCheck, type SendCheck} from './send-check.js';
import type {StartRefusal} from './types.js';
import type {Waker} from './waker.js';

export type RenewalOutcome = Readonly<
	/** `hasNews` is set by new ends, and by the first response. */
	| {outcome: 'renewed'; hasNews: boolean}
	| {outcome: 'refused'; reason: StartRefusal}
	/** Its reasons ended while it waited for a connection. */
	| {outcome: 'withdrawn'}
>;

export type RenewalLoopOptions = Readonly<{
	ends: ReportedEnds;
	/** Woken when there may be work on the worker, or an end to acknowledge. */
	waker: Waker;
	now: () => number;
	/** Whether this instance's term is still valid. */
	mayOrder: () => boolean;
	isGone: () => boolean;
	/** Whether the worker has responded to the latest renewal and has no work. */
	isIdle: () => boolean;
	/** Sends one renewal, unless the check fails when it is about to be sent; throws when it gets no response. */
	renew: (signal: AbortSignal, check: SendCheck) => Promise<RenewalOutcome>;
	/** Called when renewals have got no response, or only refusals for a while. */
	onSilence: (error: string) => void;
	/** Time after which no lease of the worker can be valid. */
	expiryMs: () => number;
	/** Called when renewals have failed until then. */
	onExpired: () => void;
	signal: AbortSignal;
}>;

/**
Renews the lease of one worker, and so receives its reports, until the signal aborts or the worker is gone.

@example
```ts
await runRenewalLoop({ends, waker, now, mayOrder, isGone, isIdle, renew, onSilence, expiryMs, onExpired, signal});
```
*/
export const runRenewalLoop = async (options: RenewalLoopOptions): Promise<void> => {
	const {ends, waker, now, mayOrder, isGone, isIdle, renew, onSilence, expiryMs, onExpired, signal} = options;
	const backoff = createBackoff({minMs: WORKER_RETRY_MS, maxMs: WORKER_RETRY_MAX_MS});
	/** Time since which the worker has refused every renewal. */
	let refusedSinceMs: number | undefined;

	/** Sends one renewal; returns whether the worker has renewed the lease. */
	const renewOnce = async (): Promise<boolean> => {
		const check = createSendCheck(() => mayOrder() && !isGone());
		const startedMs = now();
		try {
			const renewal = await renew(signal, check);
			if (renewal.outcome === 'renewed') {
				refusedSinceMs = undefined;
				if (!renewal.hasNews) {
					// The worker may respond at once.
					await sleep(MIN_RENEWAL_INTERVAL_MS - (now() - startedMs), signal);
				}

				return true;
			}

			if (renewal.outcome === 'withdrawn') {
				return false;
			}

			// A refusal shows that the worker is there, so only lasting refusals count as silence.
			refusedSinceMs ??= now();
			if (now() - refusedSinceMs > RENEWAL_GRACE_MS) {
				onSilence(`the worker refuses renewals: ${renewal.reason}`);
			}
		} catch (error) {
			if (!signal.aborted && !check.isWithdrawn()) {
				onSilence(toServiceError(error, 'may-have-run').message);
			}
		}

		return false;
	};

	while (!signal.aborted && !isGone()) {
		if (!mayOrder()) {
			await sleep(WORKER_RETRY_MS, signal);
			continue;
		}

		if (ends.isStoring()) {
			// A worker responds at once while it has unacknowledged ends, so until these are stored, renewals only extend the lease.
			await Promise.race([ends.settled(), sleep(RENEWAL_WAIT_MS / 2, signal)]);
			// The term may have lapsed meanwhile, and a later leader does not wait for leases that are granted after it.
			if (!mayOrder()) {
				continue;
			}
		}

		const hasUnacknowledgedEnds = ends.acknowledged() > ends.confirmed();
		if (isIdle() && !hasUnacknowledgedEnds && !ends.isStoring()) {
			await waker.wait(signal);
			continue;
		}

		if (await renewOnce()) {
			backoff.reset();
			continue;
		}

		if (signal.aborted) {
			return;
		}

		if (now() > expiryMs()) {
			onExpired();
			return;
		}

		await sleep(backoff.next(), signal);
	}
};
