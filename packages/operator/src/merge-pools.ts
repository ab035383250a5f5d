import {isDeepStrictEqual} from 'node:util';
import {ServiceError, type Pool, type PoolTerms} from '@bergamotgauge/model';
import {EVERY_PARTNER} from './constants.js';

const partnersOf = ({shares}: PoolTerms): readonly string[] => shares.map(({partner}) => partner);

const termsOf = ({weights, shares}: PoolTerms): PoolTerms => ({
	weights,
	shares: shares.toSorted((a, b) => a.partner.localeCompare(b.partner)),
});

const isSame = (a: PoolTerms, b: PoolTerms): boolean => isDeepStrictEqual(termsOf(a), termsOf(b));

const requireMember = (pool: string, terms: readonly PoolTerms[], partner: string): void => {
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
		requireMember(name, [terms], partner);
		return {name, ...terms, agreedBy: [partner], proposals: []};
	}

	const agreedBy = current.agreedBy ?? [];
	const proposals = (current.proposals ?? []).filter((proposal) => proposal.partner !== partner);
	requireMember(name, [current, ...(current.proposals ?? [])], partner);
	if (isSame(current, terms)) {
		return {...current, agreedBy: [...new Set([...agreedBy, partner])].toSorted(), proposals};
	}

	const needed = new Set([...agreedBy, ...partnersOf(terms)]);
	const agreeing = new Set([
		partner,
		...proposals.filter((proposal) => isSame(proposal, terms)).map((proposal) => proposal.partner),
	]);
	const hasOthers = agreedBy.some((other) => other !== partner);
	if (!hasOthers || [...needed].every((other) => agreeing.has(other))) {
		requireMember(name, [terms, ...(hasOthers ? [current] : [])], partner);
		return {
			name,
			...terms,
			agreedBy: [...agreeing].toSorted(),
			proposals: proposals.filter((item) => !isSame(item, terms)),
		};
	}

	return {...current, agreedBy, proposals: [...proposals, {partner, ...terms}]};
};

const leavePool = (pool: Pool, partner: string): Pool | undefined => {
	const agreedBy = (pool.agreedBy ?? []).filter((other) => other !== partner);
	const proposals = (pool.proposals ?? []).filter((proposal) => proposal.partner !== partner);
	return agreedBy.length === 0 ? undefined : {...pool, agreedBy, proposals};
};

/**
Applies one partner's declarations of pools. The terms in force of a pool change only when every partner that agreed to them, and every partner with a share in the new ones, declares the new terms; until then a partner's differing terms are kept as its proposal.

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

	const isForeign = (pool: Pool): boolean =>
		![pool, ...(pool.proposals ?? [])].some((terms) => partnersOf(terms).includes(partner));
	const untouched = (pool: Pool): boolean =>
		isForeign(pool) && requested.every((item) => item.name !== pool.name || isSame(pool, item));
	const kept = current.filter((pool) => untouched(pool));
	const declared = requested
		.filter(({name}) => kept.every((pool) => pool.name !== name))
		.map((pool) =>
			declarePool(
				current.find(({name}) => name === pool.name),
				pool,
				partner,
			),
		);
	const left = current
		.filter(({name}) => [...kept, ...declared].every((pool) => pool.name !== name))
		.flatMap((pool) => leavePool(pool, partner) ?? []);
	return [...kept, ...declared, ...left];
};
