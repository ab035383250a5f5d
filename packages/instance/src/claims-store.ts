import {
	applyClaim,
	applyFinish,
	EMPTY_CLAIM_SHARD,
	findClaim,
	checkExistingClaim,
	type Claim,
	type ClaimFinish,
	type ClaimResult,
} from '@bergamotgauge/caller';
import {claimShardKey, ServiceError, toServiceError, type ClaimShardRecord} from '@bergamotgauge/model';
import {createGroupCommit, type Entry, type GroupCommit, type Store} from '@bergamotgauge/store';

const MAX_CLAIM_WRITE_ATTEMPTS = 3;

/** No further write attempt for a claim starts after this time, because its caller waits for the response. */
const CLAIM_RETRY_WINDOW_MS = 2000;

type Shard = Readonly<{
	commit: GroupCommit<ClaimShardRecord>;
	/** Reads the value from the store. */
	refresh: () => Promise<ClaimShardRecord>;
}>;

/** Writes claims by compare-and-swap. */
export type ClaimStore = Readonly<{
	claim: (claim: Claim) => Promise<ClaimResult>;
	finish: (finish: ClaimFinish) => Promise<void>;
}>;

/**
Creates the writer of claims. Claims of one shard that arrive during a write are batched into the next one.

@example
```ts
const result = await claimStore.claim({key, customer, fingerprint, requestId});
```

@throws {ServiceError} When the claim is not known to be stored; with verdict `may-have-run` when an attempt to store it may have succeeded.
*/
export const createClaimStore = (store: Store): ClaimStore => {
	const shards = new Map<string, Shard>();

	const shardOf = (key: string): Shard => {
		let shard = shards.get(key);
		if (!shard) {
			let cached: Entry<unknown> = {key, revision: 0, value: undefined};
			shard = {
				async refresh() {
					const entry = await store.get(key);
					cached = entry.revision > cached.revision ? entry : cached;
					return (cached.value ?? EMPTY_CLAIM_SHARD) as ClaimShardRecord;
				},
				commit: createGroupCommit<ClaimShardRecord>({
					store,
					key,
					empty: EMPTY_CLAIM_SHARD,
					known: () => cached,
					onWritten(entry) {
						cached = entry;
					},
				}),
			};
			shards.set(key, shard);
		}

		return shard;
	};

	const submitClaim = async (shard: Shard, claim: Claim): Promise<ClaimResult> => {
		const startedMs = performance.now();
		let mayBeStored = false;
		for (let attempt = 1; ; attempt += 1) {
			try {
				return await shard.commit.submit((value) => applyClaim(value, claim, Date.now()));
			} catch (error) {
				const failure = toServiceError(error, 'may-have-run');
				mayBeStored ||= failure.verdict !== 'not-run';
				// The claim carries its request id, so a write with an unknown outcome can be repeated safely.
				const isExhausted =
					attempt >= MAX_CLAIM_WRITE_ATTEMPTS || performance.now() - startedMs > CLAIM_RETRY_WINDOW_MS;
				if (failure.verdict === 'not-run' || isExhausted) {
					throw new ServiceError(`the claim is not stored: ${failure.message}`, {
						code: failure.code,
						verdict: mayBeStored ? 'may-have-run' : 'not-run',
						status: failure.status,
						retryAfterMs: failure.retryAfterMs ?? 1000,
						cause: failure,
					});
				}
			}
		}
	};

	/** The first request may have finished through another instance since this one last saw the shard. */
	const recheckClaim = async (shard: Shard, claim: Claim, result: ClaimResult): Promise<ClaimResult> => {
		const existing = findClaim(await shard.refresh(), claim);
		return existing ? checkExistingClaim(existing, claim) : result;
	};

	return {
		async claim(claim) {
			const shard = shardOf(claimShardKey(claim.customer, claim.key));
			const result = await submitClaim(shard, claim);
			return result.kind === 'repeated' && result.claim.state === 'claimed'
				? recheckClaim(shard, claim, result)
				: result;
		},
		async finish(finish) {
			const shard = shardOf(claimShardKey(finish.customer, finish.key));
			const submit = async () => shard.commit.submit((value) => applyFinish(value, finish));
			// When the finish had no effect, nothing was written: the cached shard may be stale and lack the claim.
			if (!(await submit())) {
				await shard.refresh();
				await submit();
			}
		},
	};
};
