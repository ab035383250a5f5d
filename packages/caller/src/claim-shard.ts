import {
	CLAIM_LIFETIME_MS,
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

type Applied<Result> = Readonly<{value: ClaimShardRecord; result: Result}>;

const nameOf = ({customer, key}: Pick<Claim, 'customer' | 'key'>): string => `${customer}/${key}`;

/** Finds the claim of a customer's idempotency key. */
export const findClaim = (shard: ClaimShardRecord, claim: Pick<Claim, 'customer' | 'key'>): ClaimRecord | undefined =>
	Object.hasOwn(shard.claims, nameOf(claim)) ? shard.claims[nameOf(claim)] : undefined;

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
	const kept = entries.filter(([, {claimedAtMs}]) => nowMs - claimedAtMs <= CLAIM_LIFETIME_MS);
	return kept.length === entries.length ? shard : {claims: Object.fromEntries(kept)};
};

/** Says what an existing claim means for a request. */
export const judgeClaim = (existing: ClaimRecord, claim: Claim): ClaimResult => {
	if (existing.fingerprint !== claim.fingerprint) {
		return {kind: 'mismatched'};
	}

	return existing.requestId === claim.requestId ? {kind: 'granted'} : {kind: 'repeated', claim: existing};
};

/**
Adds a claim unless the key has one. The same request id may claim again, so that a write with an unknown effect can be repeated.

@throws {ServiceError} `overloaded` when the shard is full.
*/
export const applyClaim = (shard: ClaimShardRecord, claim: Claim, nowMs: number): Applied<ClaimResult> => {
	const existing = findClaim(shard, claim);
	if (existing) {
		return {value: shard, result: judgeClaim(existing, claim)};
	}

	const current = withoutExpired(shard, nowMs);
	const record: ClaimRecord = {...claim, state: 'claimed', verdict: 'may-have-run', claimedAtMs: nowMs};
	if (shardBytes(current) + claimBytes(record) > MAX_CLAIM_SHARD_BYTES) {
		throw new ServiceError('the claims of idempotency keys are full', {
			code: 'overloaded',
			verdict: 'not-run',
			retryAfterMs: CLAIM_SHARD_FULL_RETRY_AFTER_MS,
		});
	}

	return {value: {claims: {...current.claims, [nameOf(claim)]: record}}, result: {kind: 'granted'}};
};

/** Records how the claiming request ended; a request that did not run gives its key free. The result is false when the claim is not there. */
export const applyFinish = (shard: ClaimShardRecord, finish: ClaimFinish): Applied<boolean> => {
	const existing = findClaim(shard, finish);
	if (existing?.requestId !== finish.requestId || existing.state === 'finished') {
		return {value: shard, result: existing?.requestId === finish.requestId};
	}

	const {[nameOf(finish)]: _, ...others} = shard.claims;
	if (finish.verdict === 'not-run') {
		return {value: {claims: others}, result: true};
	}

	const {answer} = finish;
	const isKept =
		answer !== undefined &&
		answer.body.length <= MAX_CLAIM_ANSWER_BYTES &&
		shardBytes(shard) + answer.body.length <= MAX_CLAIM_SHARD_WITH_ANSWERS_BYTES;
	const record: ClaimRecord = {
		...existing,
		state: 'finished',
		verdict: finish.verdict,
		...(isKept && {answer}),
	};
	return {value: {claims: {...others, [nameOf(finish)]: record}}, result: true};
};
