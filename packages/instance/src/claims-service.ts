import {setMaxListeners} from 'node:events';
import type {Claim, ClaimFinish, ClaimResult, Claims} from '@bergamotgauge/caller';
import {createBackoff, sleep} from '@bergamotgauge/lifecycle';
import {claimShardKey, ServiceError, toServiceError} from '@bergamotgauge/model';
import {ownerOf, type RequestHandler} from '@bergamotgauge/peer';
import {createClaimStore} from './claims-store.js';
import type {Context} from './context.js';

/** A finish that cannot be stored within this time is dropped; a repeat of the request then gets `may-have-run`. */
const FINISH_RETRY_MS = 60_000;

const MAX_WAITING_FINISHES = 10_000;

export type ClaimService = Claims &
	Readonly<{
		/** Finishes that are not stored yet; a drain waits for them. */
		waitingFinishes: () => number;
		handlers: Readonly<Record<'claim' | 'finish', RequestHandler>>;
	}>;

export type ClaimServiceOptions = Pick<Context, 'store' | 'log' | 'metrics' | 'lifecycle'> &
	Readonly<{
		membership: Pick<Context['membership'], 'owners' | 'link'>;
		settings: Pick<Context['settings'], 'id'>;
	}>;

/**
Creates the claim service of one instance. The owner of the shard writes claims; if it cannot be reached, this instance writes them directly.

@example
```ts
const claims = createClaimService(context);
const result = await claims.claim({key, customer, fingerprint, requestId});
```
*/
export const createClaimService = (context: ClaimServiceOptions): ClaimService => {
	const {log, metrics, membership, settings, lifecycle} = context;
	const claimStore = createClaimStore(context.store);
	let waitingCount = 0;
	// Each finish that waits for the store adds a listener to this signal.
	setMaxListeners(0, lifecycle.signal);

	const callOwner = async <Result>(
		method: 'claim' | 'finish',
		body: Claim | ClaimFinish,
		writeDirectly: () => Promise<Result>,
	): Promise<Result> => {
		const owner = ownerOf(claimShardKey(body.customer, body.key), membership.owners());
		const link = owner === undefined || owner === settings.id ? undefined : membership.link(owner);
		if (!link) {
			return writeDirectly();
		}

		try {
			return (await link.call(method, body)) as Result;
		} catch (error) {
			const failure = toServiceError(error, 'may-have-run');
			// A call that may have reached the owner is not followed by a direct write.
			if (failure.code !== 'peer-unavailable' || failure.verdict !== 'not-run') {
				throw failure;
			}

			metrics.count('claims_written_directly_total', {method});
			return writeDirectly();
		}
	};

	const storeFinish = async (finish: ClaimFinish): Promise<void> => {
		const backoff = createBackoff({minMs: 100, maxMs: 5000});
		const deadlineMs = Date.now() + FINISH_RETRY_MS;
		for (;;) {
			try {
				await callOwner('finish', finish, async () => claimStore.finish(finish));
				return;
			} catch (error) {
				if (Date.now() > deadlineMs || lifecycle.signal.aborted) {
					log.warn('claim-finish-lost', {request: finish.requestId, error: String(error)});
					return;
				}

				await sleep(backoff.next(), lifecycle.signal);
			}
		}
	};

	const finishClaim = async (finish: ClaimFinish): Promise<void> => {
		if (waitingCount >= MAX_WAITING_FINISHES) {
			log.warn('claim-finish-lost', {request: finish.requestId, error: 'too many finishes wait for the store'});
			return;
		}

		waitingCount += 1;
		try {
			await storeFinish(finish);
		} finally {
			waitingCount -= 1;
		}
	};

	return {
		async claim(claim) {
			try {
				const result = await callOwner<ClaimResult>('claim', claim, async () => claimStore.claim(claim));
				metrics.count('claims_total', {result: result.kind});
				return result;
			} catch (error) {
				const failure = toServiceError(error, 'may-have-run');
				metrics.count('claims_total', {result: 'refused'});
				if (failure.verdict !== 'not-run') {
					// The owner may still store the claim of this refused request.
					void finishClaim({...claim, verdict: 'not-run'});
				}

				// Nothing was sent to an endpoint, whether or not the claim was stored.
				throw new ServiceError(failure.message, {
					code: failure.code === 'internal' ? 'store-unavailable' : failure.code,
					verdict: 'not-run',
					retryAfterMs: failure.retryAfterMs ?? 1000,
					cause: failure,
				});
			}
		},
		finish: finishClaim,
		waitingFinishes: () => waitingCount,
		handlers: {
			claim: async (body) => claimStore.claim(body as Claim),
			async finish(body) {
				await claimStore.finish(body as ClaimFinish);
				return {};
			},
		},
	};
};
