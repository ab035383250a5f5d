import {matchesSelector, type Declarations, type Guarantee} from '@bergamotgauge/model';
import {workerLabels} from '@bergamotgauge/placement';
import {ROUNDING_ALLOWANCE} from './constants.js';

/** A guarantee beyond its partner's shares. */
export type ShareFault = Readonly<{name: string; message: string}>;

type Reach = Readonly<{guarantee: Guarantee; partner: string | undefined; pools: ReadonlySet<string>}>;

const reachOf = (guarantee: Guarantee, {customers, racks}: Declarations): Reach => ({
	guarantee,
	partner: customers.find(({name}) => name === guarantee.customer)?.partner,
	pools: new Set(
		racks
			.filter(({workers}) => workers.some((worker) => matchesSelector(guarantee.workerSelector, workerLabels(worker))))
			.map(({pool}) => pool),
	),
});

/** Accelerators that the partner's share of a pool gives. */
const shareOf = (partner: string, pool: string, {pools, racks}: Declarations): number => {
	const size = racks
		.filter((rack) => rack.pool === pool)
		.flatMap(({workers}) => workers)
		.reduce((sum, {accelerators}) => sum + accelerators, 0);
	const shares = pools.find(({name}) => name === pool)?.shares ?? [];
	return size * (shares.find((share) => share.partner === partner)?.share ?? 0);
};

/**
Finds guarantees that go beyond their partner's shares. For the pools that a guarantee can use, all guarantees of the partner that can use no other pool must fit the partner's shares of these pools together; otherwise one partner could guarantee the whole of a shared pool to its customers.

@example
```ts
findShareFaults(declarations); // [{name: 'reels', message: '…'}]
```
*/
export const findShareFaults = (declarations: Declarations): readonly ShareFault[] => {
	const reaches = declarations.guarantees.map((guarantee) => reachOf(guarantee, declarations));
	return reaches.flatMap(({guarantee: {name}, partner, pools}) => {
		if (partner === undefined) {
			return [];
		}

		const limit = [...pools].reduce((sum, pool) => sum + shareOf(partner, pool, declarations), 0);
		const held = reaches
			.filter((other) => other.partner === partner && [...other.pools].every((pool) => pools.has(pool)))
			.reduce((sum, {guarantee}) => sum + guarantee.count * guarantee.accelerators, 0);
		const names = [...pools].join(', ');
		return held > limit + ROUNDING_ALLOWANCE
			? [
					{
						name,
						message: `guarantees of partner ${partner} on pool ${names} hold ${held} accelerators; its share is ${limit}`,
					},
				]
			: [];
	});
};
