import {isDeepStrictEqual} from 'node:util';
import {ServiceError, type Pool, type PoolTerms} from '@bergamotgauge/model';
import {EVERY_PARTNER} from './constants.js';

const partnersOf = ({shares}: PoolTerms): readonly string[] => shares.map(({partner}) => partner);

const termsOf = ({weights, shares}: PoolTerms): PoolTerms => ({
	weights,
	shares: shares.toSorted((a, b) => a.partner.localeCompare(b.partner)),
});

const isSame = (a: PoolTerms, b: PoolTerms): boolean => isDeepStrictEqual(termsOf(a), termsOf(b));

const requireShare = (pool: string, terms: readonly PoolTerms[], partner: string): void => {
	if (!terms.some((item) => partnersOf(item).includes(partner))) {
		throw new ServiceError(`pools/${pool} has no share of partner ${partner}, whose operator must not change it`, {
			code: 'forbidden',
			verdict: 'not-run',
			details: {collection: 'pools', name: pool},
		});
	}
};

const declarePool = (current: Pool | undefined, {name, ...requested}: Pool, partner: string): Pool => {
	const terms = termsOf(requested);
	if (!current) {
		requireShare(name, [terms], partner);
		return {name, ...terms, agreedBy: [partner], proposals: []};
	}

	const agreedBy = current.agreedBy ?? [];
	const proposals = (current.proposals ?? []).filter((proposal) => proposal.partner !== partner);
	requireShare(name, [current, ...(current.proposals ?? [])], partner);
	if (isSame(current, terms)) {
		return {...current, agreedBy: [...new Set([...agreedBy, partner])].toSorted(), proposals};
	}

	const requiredPartners = new Set([...agreedBy, ...partnersOf(terms)]);
	const agreeingPartners = new Set([
		partner,
		...proposals.filter((proposal) => isSame(proposal, terms)).map((proposal) => proposal.partner),
	]);
	const hasOtherPartners = agreedBy.some((other) => other !== partner);
	if (!hasOtherPartners || [...requiredPartners].every((other) => agreeingPartners.has(other))) {
		requireShare(name, [terms, ...(hasOtherPartners ? [current] : [])], partner);
		return {
			name,
			...terms,
			agreedBy: [...agreeingPartners].toSorted(),
			proposals: proposals.filter((item) => !isSame(item, terms)),
		};
	}

	return {...current, agreedBy, proposals: [...proposals, {partner, ...terms}]};
};

const withdrawFromPool = (pool: Pool, partner: string): Pool | undefined => {
	const agreedBy = (pool.agreedBy ?? []).filter((other) => other !== partner);
	const proposals = (pool.proposals ?? []).filter((proposal) => proposal.partner !== partner);
	return agreedBy.length === 0 ? undefined : {...pool, agreedBy, proposals};
};

/**
Applies one partner's declarations of pools. The terms of a pool in force change only when every partner that agreed to them, and every partner with a share in the new terms, has declared the new terms. Until then, a partner's differing terms are stored as its proposal.

@throws {ServiceError} `forbidden` for a pool in which the partner has no share.
*/
export const mergePools = (current: readonly Pool[], requested: readonly Pool[], partner: string): readonly Pool[] => {
	if (partner === EVERY_PARTNER) {
		return requested.map((pool) => ({
			...pool,
			...termsOf(pool),
			agreedBy: [...partnersOf(pool)].toSorted(),
			proposals: [],
		}));
	}

	const hasNoShare = (pool: Pool): boolean =>
		![pool, ...(pool.proposals ?? [])].some((terms) => partnersOf(terms).includes(partner));
	const isKept = (pool: Pool): boolean =>
		hasNoShare(pool) && requested.every((item) => item.name !== pool.name || isSame(pool, item));
	const kept = current.filter((pool) => isKept(pool));
	const declared = requested
		.filter(({name}) => kept.every((pool) => pool.name !== name))
		.map((pool) =>
			declarePool(
				current.find(({name}) => name === pool.name),
				pool,
				partner,
			),
		);
	const withdrawnPools = current
		.filter(({name}) => [...kept, ...declared].every((pool) => pool.name !== name))
		.flatMap((pool) => withdrawFromPool(pool, partner) ?? []);
	return [...kept, ...declared, ...withdrawnPools];
};
