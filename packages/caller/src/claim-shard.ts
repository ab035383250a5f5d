import {
	CLAIM_RETENTION_MS,
	MAX_CLAIM_ANSWER_BYTES,
	ServiceError,
	type ClaimRecord,
	type ClaimShardRecord,
} from '@bergamotgauge/model';
import {
	CLAIM_OVERHEAD_BYTES,
	CLAIM_SHARD_FULL_RETRY_AFTER_MS,
	MAX_CLAIM_SHARD_BYTES,
	MAX_CLAIM_SHARD_WITH_ANSWERS_BYTES,
} from './constants.js';
import type {Claim, ClaimFinish, ClaimResult} from './types.js';

export const EMPTY_CLAIM_SHARD: ClaimShardRecord = {claims: {}};

type ShardUpdate<Result> = Readonly<{value: ClaimShardRecord; result: Result}>;

const entryKeyOf = ({customer, key}: Pick<Claim, 'customer' | 'key'>): string => `${customer}/${key}`;

/** Finds the claim of a customer's idempotency key. */
export const findClaim = (shard: ClaimShardRecord, claim: Pick<Claim, 'customer' | 'key'>): ClaimRecord | undefined =>
	Object.hasOwn(shard.claims, entryKeyOf(claim)) ? shard.claims[entryKeyOf(claim)] : undefined;

const claimBytes = (claim: ClaimRecord): number =>
	CLAIM_OVERHEAD_BYTES +
	2 * (claim.key.length + claim.customer.length) +
	claim.fingerprint.length +
	claim.requestId.length +
	(claim.answer ? CLAIM_OVERHEAD_BYTES + claim.answer.body.length + claim.answer.contentType.length : 0);

const shardBytes = (shard: ClaimShardRecord): number =>
	Object.values(shard.claims).reduce((sum, claim) => sum + claimBytes(claim), 0);

const withoutExpired = (shard: ClaimShardRecord, nowMs: number): ClaimShardRecord => {
	const entries = Object.entries(shard.claims);
	const kept = entries.filter(([, {claimedAtMs}]) => nowMs - claimedAtMs <= CLAIM_RETENTION_MS);
	return kept.length === entries.length ? shard : {claims: Object.fromEntries(kept)};
};

/** Compares a request with the existing claim to its idempotency key. */
export const checkExistingClaim = (existing: ClaimRecord, claim: Claim): ClaimResult => {
	if (existing.fingerprint !== claim.fingerprint) {
		return {kind: 'mismatched'};
	}

	return existing.requestId === claim.requestId ? {kind: 'granted'} : {kind: 'repeated', claim: existing};
};

/**
Adds a claim unless the key has one. The same request id may claim again, so that a write with an unknown outcome can be retried.

@throws {ServiceError} `overloaded` when the shard is full.
*/
export const applyClaim = (shard: ClaimShardRecord, claim: Claim, nowMs: number): ShardUpdate<ClaimResult> => {
	const existing = findClaim(shard, claim);
	if (existing) {
		return {value: shard, result: checkExistingClaim(existing, claim)};
	}

	const current = withoutExpired(shard, nowMs);
	const record: ClaimRecord = {...claim, state: 'claimed', verdict: 'may-have-run', claimedAtMs: nowMs};
	if (shardBytes(current) + claimBytes(record) > MAX_CLAIM_SHARD_BYTES) {
		throw new ServiceError('the claim shard of this idempotency key is full', {
			code: 'overloaded',
			verdict: 'not-run',
			retryAfterMs: CLAIM_SHARD_FULL_RETRY_AFTER_MS,
		});
	}

	return {value: {claims: {...current.claims, [entryKeyOf(claim)]: record}}, result: {kind: 'granted'}};
};

/** Records the outcome of a claimed request; a request that did not run releases its key. The result is false when the claim does not exist. */
export const applyFinish = (shard: ClaimShardRecord, finish: ClaimFinish): ShardUpdate<boolean> => {
	const existing = findClaim(shard, finish);
	if (existing?.requestId !== finish.requestId || existing.state === 'finished') {
		return {value: shard, result: existing?.requestId === finish.requestId};
	}

	const {[entryKeyOf(finish)]: _, ...others} = shard.claims;
	if (finish.verdict === 'not-run') {
		return {value: {claims: others}, result: true};
	}

	const {answer} = finish;
	const isStored =
		answer !== undefined &&
		answer.body.length <= MAX_CLAIM_ANSWER_BYTES &&
		shardBytes(shard) + answer.body.length <= MAX_CLAIM_SHARD_WITH_ANSWERS_BYTES;
	const record: ClaimRecord = {
		...existing,
		state: 'finished',
		verdict: finish.verdict,
		...(isStored && {answer}),
	};
	return {value: {claims: {...others, [entryKeyOf(finish)]: record}}, result: true};
};
