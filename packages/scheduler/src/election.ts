import {randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {TransactionResult} from '@bergamotgauge/store';
import {
	CLAIM_DELAY_PER_CORE_MS,
	ELECTION_RETRY_MS,
	LEADER_MARGIN_MS,
	LEADER_RENEW_MS,
	LEADER_TTL_MS,
	MAX_CLAIM_DELAY_MS,
	WATCH_RETRY_MAX_MS,
} from './constants.js';
import {LEADER_KEY, TERM_KEY} from './keys.js';
import type {LeaderWatch} from './leader-watch.js';
import type {StoreHealth} from './store-health.js';
import type {SchedulerContext} from './types.js';

/** One period of leadership. */
export type Term = Readonly<{
	/** Fencing token; increases with each term. */
	number: number;
	/** Revision of the leader key; a precondition of all writes of the leader. */
	leaderRevision: number;
	/** Whether the lease is still valid by this instance's clock. No orders are sent while it may have expired. */
	isValid: () => boolean;
	/** Ends the term early, when there is evidence that another instance leads. */
	abandon: (reason: string) => void;
	signal: AbortSignal;
}>;

export type ElectionOptions = Readonly<{
	context: SchedulerContext;
	leader: LeaderWatch;
	health: StoreHealth;
	/** Runs the leader's tasks; the term ends when it returns. */
	lead: (term: Term) => Promise<void>;
	/** Whether the instance may lead; false when it is about to stop. */
	isCandidate: () => boolean;
	signal: AbortSignal;
}>;

/** A claim of the leadership that was stored. */
type Claim = Readonly<{
	/** Number of the new term. */
	number: number;
	/** Revision of the leader key. */
	revision: number;
	lease: number;
	/** Time before the lease was requested, by `latestNow`. */
	sentMs: number;
}>;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/**
Takes part in elections until the signal aborts. The leader key is bound to a lease and written only when it does not exist, so the store has one holder at a time. A holder whose lease may have expired by its own clock stops sending orders.

@example
```ts
lifecycle.run('election', async (signal) => runElection({context, leader, health, lead, isCandidate, signal}));
```
*/
export const runElection = async (options: ElectionOptions): Promise<void> => {
	const {context, leader, health, lead, isCandidate, signal} = options;
	const {store, log, instanceId, metrics} = context;

	const {now, latestNow} = health.clocks;
	const claimDelayMs = Math.min(MAX_CLAIM_DELAY_MS, Math.max(0, 1 - context.cores) * CLAIM_DELAY_PER_CORE_MS);

	const revoke = async (lease: number) => {
		try {
			await store.revokeLease(lease);
		} catch (error) {
			// The lease expires by itself.
			log.debug('lease-not-ended', {error: toServiceError(error, 'may-have-run').message});
		}
	};

	const claim = async (): Promise<Claim | undefined> => {
		const last = await store.get(TERM_KEY);
		const number = last ? Number(decoder.decode(last.value)) + 1 : 1;
		const sentMs = latestNow();
		const {lease} = await store.grantLease(LEADER_TTL_MS);
		let result: TransactionResult | undefined;
		try {
			result = await store.transact({
				expected: [
					{key: LEADER_KEY, revision: 0},
					{key: TERM_KEY, revision: last?.revision ?? 0},
				],
				writes: [
					{key: LEADER_KEY, value: encoder.encode(`${instanceId}/${randomUUID()}`), lease},
					{key: TERM_KEY, value: encoder.encode(String(number))},
				],
			});
		} finally {
			// A claim without a response may have been stored, or may be stored later while its lease is valid.
			if (result?.outcome !== 'applied') {
				await revoke(lease);
			}
		}

		if (result.outcome === 'applied') {
			return {number, revision: result.revision, lease, sentMs};
		}

		const holder = result.outcome === 'conflict' ? result.current.find(({key}) => key === LEADER_KEY) : undefined;
		if (holder) {
			leader.markTaken(holder.revision);
		}

		return undefined;
	};

	const renewOnce = async (lease: number, controller: AbortController, extend: (sentMs: number) => void) => {
		const sentMs = latestNow();
		try {
			if (await store.renewLease(lease)) {
				extend(sentMs);
			} else {
				controller.abort(new Error('the lease has ended'));
			}
		} catch (error) {
			log.debug('lease-not-renewed', {error: toServiceError(error, 'may-have-run').message});
		}
	};

	/** Sends renewals without waiting for the responses, since waiting for a lost response would take up most of the lease. */
	const renew = async (lease: number, controller: AbortController, extend: (sentMs: number) => void) => {
		while (!controller.signal.aborted) {
			await sleep(LEADER_RENEW_MS, controller.signal);
			if (!controller.signal.aborted) {
				void renewOnce(lease, controller, extend);
			}
		}
	};

	const runTerm = async ({number, revision, lease, sentMs}: Claim) => {
		const controller = new AbortController();
		// Each stop in progress listens to this signal while it waits, so a large number of listeners is not a leak.
		setMaxListeners(0, controller.signal);
		let validUntilMs = sentMs + LEADER_TTL_MS - LEADER_MARGIN_MS;
		let isPaused = false;
		const resign = () => {
			controller.abort(new Error('the instance is shutting down'));
		};

		signal.addEventListener('abort', resign, {once: true});
		const watchValidity = async () => {
			while (!controller.signal.aborted) {
				await sleep(LEADER_RENEW_MS / 5, controller.signal);
				if (!isCandidate()) {
					resign();
				}

				// The term is paused while its lease may have expired. No other instance can be elected while the store is
				// unavailable, so a later successful renewal resumes the term.
				const isPausedNow = latestNow() > validUntilMs;
				if (isPausedNow !== isPaused) {
					isPaused = isPausedNow;
					log.info(isPaused ? 'term-paused' : 'term-resumed', {term: number, instance: instanceId});
				}
			}
		};

		log.info('term-started', {term: number, instance: instanceId});
		metrics.gauge('leader_term', number);
		try {
			await Promise.all([
				renew(lease, controller, (atMs) => {
					validUntilMs = Math.max(validUntilMs, atMs + LEADER_TTL_MS - LEADER_MARGIN_MS);
				}),
				watchValidity(),
				(async () => {
					try {
						await lead({
							number,
							leaderRevision: revision,
							isValid: () => !controller.signal.aborted && latestNow() < validUntilMs,
							abandon(reason) {
								controller.abort(new Error(reason));
							},
							signal: controller.signal,
						});
					} finally {
						controller.abort(new Error('the tasks of the term have ended'));
					}
				})(),
			]);
		} finally {
			signal.removeEventListener('abort', resign);
			const reason = controller.signal.reason as unknown;
			log.info('term-ended', {term: number, reason: reason instanceof Error ? reason.message : 'unknown'});
			metrics.gauge('leader_term', 0);
			await revoke(lease);
		}
	};

	const backoff = createBackoff({minMs: ELECTION_RETRY_MS, maxMs: WATCH_RETRY_MAX_MS});
	let vacantSinceMs: number | undefined;
	while (!signal.aborted) {
		const mayClaim = isCandidate() && leader.isLoaded() && leader.isVacant() && !health.isLost();
		vacantSinceMs = mayClaim ? (vacantSinceMs ?? now()) : undefined;
		if (vacantSinceMs === undefined || now() - vacantSinceMs < claimDelayMs) {
			await sleep(ELECTION_RETRY_MS, signal);
			continue;
		}

		try {
			const claimed = await claim();
			backoff.reset();
			if (claimed) {
				await runTerm(claimed);
			}
		} catch (error) {
			log.warn('election-failed', {error: toServiceError(error, 'may-have-run').message});
		}

		vacantSinceMs = undefined;
		await sleep(backoff.next(), signal);
	}
};
