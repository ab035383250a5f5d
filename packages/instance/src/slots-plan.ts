import type {EndpointShares, SlotShardRecord} from '@bergamotgauge/model';

/** Prefix of the placeholder holder that keeps reclaimed slots out of use until the time in its name. */
const RECLAIMED_PREFIX = 'reclaimed/';

/** Smallest gain, as a fraction of the capacity, for which slots move; it keeps demand noise from causing writes. */
const MIN_GAIN = 0.05;

/** Demand for the slots of one group of endpoints by holder. */
export type Demand = ReadonlyMap<string, number>;

export type SlotPlan = Readonly<{
	/** Slots by endpoint. */
	slots: ReadonlyMap<string, number>;
	/** Target shares by holder over all endpoints of the plan. */
	targets: ReadonlyMap<string, number>;
}>;

export const reclaimedHolder = (untilMs: number): string => `${RECLAIMED_PREFIX}${untilMs}`;

const isHoldDownOver = (holder: string, nowMs: number): boolean =>
	holder.startsWith(RECLAIMED_PREFIX) && Number(holder.slice(RECLAIMED_PREFIX.length)) <= nowMs;

export const isReclaimed = (holder: string): boolean => holder.startsWith(RECLAIMED_PREFIX);

const sum = (values: Iterable<number>): number => [...values].reduce((total, value) => total + value, 0);

export const sumOfShares = ({shares}: EndpointShares): number => sum(Object.values(shares));

/**
Divides capacity by max-min fairness: no holder gets more than its demand while another gets less than both its demand and an equal share. Capacity beyond the total demand is split equally.

@example
```ts
fairShares(new Map([['a', 1], ['b', 10]]), 8); // a: 1, b: 7
```
*/
export const fairShares = (demand: Demand, capacity: number): ReadonlyMap<string, number> => {
	const shares = new Map<string, number>();
	let remainingCapacity = capacity;
	let remainingHolders = demand.size;
	for (const [holder, requested] of [...demand].toSorted((a, b) => a[1] - b[1])) {
		const share = Math.min(requested, remainingCapacity / remainingHolders);
		shares.set(holder, share);
		remainingCapacity -= share;
		remainingHolders -= 1;
	}

	for (const [holder, share] of shares) {
		shares.set(holder, share + remainingCapacity / demand.size);
	}

	return shares;
};

/** Rounds shares to whole numbers that add up to the capacity, by the largest-remainder method. */
export const roundShares = (shares: ReadonlyMap<string, number>, capacity: number): ReadonlyMap<string, number> => {
	const rounded = new Map([...shares].map(([holder, share]) => [holder, Math.floor(share)]));
	let left = Math.max(0, capacity - sum(rounded.values()));
	const byRemainder = [...shares].toSorted(
		([a, x], [b, y]) => y - Math.floor(y) - (x - Math.floor(x)) || a.localeCompare(b),
	);
	for (const [holder] of byRemainder.slice(0, left)) {
		rounded.set(holder, rounded.get(holder)! + 1);
		left -= 1;
	}

	return rounded;
};

/**
Returns the target shares, or the current ones when no holder lacks enough slots to justify a move.

@example
```ts
targetShares({current: new Map([['a', 4], ['b', 4]]), demand: new Map([['a', 9], ['b', 1]]), capacity: 8}); // a: 7, b: 1
```
*/
export const targetShares = ({
	current,
	demand,
	capacity,
}: Readonly<{current: ReadonlyMap<string, number>; demand: Demand; capacity: number}>): ReadonlyMap<string, number> => {
	const atLeastOne = new Map([...demand].map(([holder, requested]) => [holder, Math.max(1, requested)]));
	const target = roundShares(fairShares(atLeastOne, capacity), capacity);
	const minGain = Math.max(1, capacity * MIN_GAIN);
	const heldTotal = sum([...demand.keys()].map((holder) => current.get(holder) ?? 0));
	const isJustified = [...target].some(([holder, share]) => {
		const currentShare = current.get(holder) ?? 0;
		return currentShare < atLeastOne.get(holder)! && (share - currentShare >= minGain || currentShare === 0);
	});
	return isJustified || heldTotal !== capacity ? target : current;
};

/** Returns reclaimed slots to use once their hold-down is over. */
export const withoutExpiredReclaims = (record: SlotShardRecord, nowMs: number): SlotShardRecord => ({
	endpoints: Object.fromEntries(
		Object.entries(record.endpoints).map(([endpoint, {slots, shares}]) => [
			endpoint,
			{slots, shares: Object.fromEntries(Object.entries(shares).filter(([holder]) => !isHoldDownOver(holder, nowMs)))},
		]),
	),
});

type Shares = Map<string, Map<string, number>>;

const addShare = (shares: Shares, endpoint: string, holder: string, delta: number): void => {
	const endpointShares = shares.get(endpoint)!;
	const next = (endpointShares.get(holder) ?? 0) + delta;
	if (next === 0) {
		endpointShares.delete(holder);
	} else {
		endpointShares.set(holder, next);
	}
};

const totalsOf = (shares: Shares): Map<string, number> => {
	const totals = new Map<string, number>();
	for (const endpointShares of shares.values()) {
		for (const [holder, share] of endpointShares) {
			totals.set(holder, (totals.get(holder) ?? 0) + share);
		}
	}

	return totals;
};

const removeExcess = (
	shares: Shares,
	slots: ReadonlyMap<string, number>,
	targets: ReadonlyMap<string, number>,
): void => {
	for (const [endpoint, endpointShares] of shares) {
		while (sum(endpointShares.values()) > (slots.get(endpoint) ?? 0)) {
			const [largest] = [...endpointShares].filter(([holder]) => targets.has(holder)).toSorted((a, b) => b[1] - a[1]);
			if (!largest) {
				break;
			}

			addShare(shares, endpoint, largest[0], -1);
		}
	}
};

/** Finds the endpoint at which a holder should gain a slot, and the holder that gives it up; an undefined donor means a free slot. */
const findSlot = (
	shares: Shares,
	slots: ReadonlyMap<string, number>,
	holder: string,
	donors: ReadonlySet<string>,
): Readonly<{endpoint: string; donor: string | undefined}> | undefined => {
	let best: {endpoint: string; donor: string | undefined; rank: number} | undefined;
	for (const [endpoint, endpointShares] of shares) {
		const isFree = sum(endpointShares.values()) < slots.get(endpoint)!;
		const [donor] = [...endpointShares].filter(([other]) => donors.has(other)).toSorted((a, b) => b[1] - a[1]);
		if (!isFree && !donor) {
			continue;
		}

		// Prefers a free slot to a taken one, then the endpoint at which the holder has the fewest slots.
		const rank = (isFree ? 0 : 1000) + (endpointShares.get(holder) ?? 0);
		if (!best || rank < best.rank) {
			best = {endpoint, donor: isFree ? undefined : donor![0], rank};
		}
	}

	return best;
};

/**
Plans the next shares of one record with few moves. Holders that are not in `targets` keep their shares.

@example
```ts
const next = planShares(record, {slots: new Map([['e1', 8]]), targets: new Map([['q1/1', 4], ['q2/1', 4]])});
```
*/
export const planShares = (record: SlotShardRecord, {slots, targets}: SlotPlan): SlotShardRecord => {
	const shares: Shares = new Map(
		[...slots.keys()].map((endpoint) => [endpoint, new Map(Object.entries(record.endpoints[endpoint]?.shares ?? {}))]),
	);
	removeExcess(shares, slots, targets);
	for (;;) {
		const totals = totalsOf(shares);
		const underAllocated = [...targets]
			.map(([holder, share]) => ({holder, gap: share - (totals.get(holder) ?? 0)}))
			.filter(({gap}) => gap > 0)
			.toSorted((a, b) => b.gap - a.gap || a.holder.localeCompare(b.holder));
		const donors = new Set(
			[...targets].filter(([holder, share]) => (totals.get(holder) ?? 0) > share).map(([id]) => id),
		);
		const [first] = underAllocated;
		const found = first && findSlot(shares, slots, first.holder, donors);
		if (!found) {
			break;
		}

		addShare(shares, found.endpoint, first.holder, 1);
		if (found.donor !== undefined) {
			addShare(shares, found.endpoint, found.donor, -1);
		}
	}

	const planned = Object.fromEntries(
		[...shares].map(([endpoint, endpointShares]) => [
			endpoint,
			{slots: slots.get(endpoint)!, shares: Object.fromEntries(endpointShares)},
		]),
	);
	return {endpoints: {...record.endpoints, ...planned}};
};

/**
Combines a plan with the limits that the holders agreed to. An increase that exceeds the slots still free under these limits is dropped, so that it does not push the sum over the slots.

@example
```ts
const written = settleShares(record, planned, (endpoint, holder) => agreed.get(`${endpoint} ${holder}`));
```
*/
export const settleShares = (
	record: SlotShardRecord,
	planned: SlotShardRecord,
	agreedLimit: (endpoint: string, holder: string) => number | undefined,
): SlotShardRecord => ({
	endpoints: Object.fromEntries(
		Object.entries(planned.endpoints).map(([endpoint, {slots, shares}]) => {
			const before = record.endpoints[endpoint]?.shares ?? {};
			const holders = [...new Set([...Object.keys(before), ...Object.keys(shares)])];
			const settled = new Map(
				holders.map((holder) => {
					const previousShare = before[holder] ?? 0;
					const isDecrease = (shares[holder] ?? 0) < previousShare;
					const limit = isReclaimed(holder) ? shares[holder] : agreedLimit(endpoint, holder);
					return [
						holder,
						isDecrease ? Math.max(shares[holder] ?? 0, Math.min(previousShare, limit ?? previousShare)) : previousShare,
					];
				}),
			);
			let free = slots - sum(settled.values());
			for (const holder of holders) {
				const gain = Math.max(0, Math.min(free, (shares[holder] ?? 0) - settled.get(holder)!));
				settled.set(holder, settled.get(holder)! + gain);
				free -= gain;
			}

			return [endpoint, {slots, shares: Object.fromEntries([...settled].filter(([, share]) => share > 0))}];
		}),
	),
});
