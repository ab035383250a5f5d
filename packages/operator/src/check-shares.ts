import {matchesSelector, type Declarations, type Guarantee} from '@bergamotgauge/model';
import {workerLabels} from '@bergamotgauge/placement';
import {ROUNDING_TOLERANCE} from './constants.js';

/** A guarantee that exceeds its partner's shares. */
export type ShareFault = Readonly<{name: string; message: string}>;

type EligiblePools = Readonly<{guarantee: Guarantee; partner: string | undefined; pools: ReadonlySet<string>}>;

const findEligiblePools = (guarantee: Guarantee, {customers, racks}: Declarations): EligiblePools => ({
	guarantee,
	partner: customers.find(({name}) => name === guarantee.customer)?.partner,
	pools: new Set(
		racks
			.filter(({workers}) => workers.some((worker) => matchesSelector(guarantee.workerSelector, workerLabels(worker))))
			.map(({pool}) => pool),
	),
});

/** Returns the number of accelerators in a partner's share of a pool. */
const shareOf = (partner: string, pool: string, {pools, racks}: Declarations): number => {
	const size = racks
		.filter((rack) => rack.pool === pool)
		.flatMap(({workers}) => workers)
		.reduce((sum, {accelerators}) => sum + accelerators, 0);
	const shares = pools.find(({name}) => name === pool)?.shares ?? [];
	return size * (shares.find((share) => share.partner === partner)?.share ?? 0);
};

/**
Finds guarantees that exceed their partner's shares. For each guarantee, the set of pools that it can use is determined. All guarantees of the partner that can use only pools of this set must together fit into the partner's shares of these pools; otherwise one partner could guarantee the whole of a shared pool to its customers.

@example
```ts
findShareFaults(declarations); // [{name: 'reels', message: '…'}]
```
*/
export const findShareFaults = (declarations: Declarations): readonly ShareFault[] => {
	const eligibility = declarations.guarantees.map((guarantee) => findEligiblePools(guarantee, declarations));
	return eligibility.flatMap(({guarantee: {name}, partner, pools}) => {
		if (partner === undefined) {
			return [];
		}

		const limit = [...pools].reduce((sum, pool) => sum + shareOf(partner, pool, declarations), 0);
		const guaranteedAccelerators = eligibility
			.filter((other) => other.partner === partner && [...other.pools].every((pool) => pools.has(pool)))
			.reduce((sum, {guarantee}) => sum + guarantee.count * guarantee.accelerators, 0);
		const poolNames = [...pools].join(', ');
		return guaranteedAccelerators > limit + ROUNDING_TOLERANCE
			? [
					{
						name,
						message: `guarantees of partner ${partner} on pool ${poolNames} hold ${guaranteedAccelerators} accelerators; its share is ${limit}`,
					},
				]
			: [];
	});
};
