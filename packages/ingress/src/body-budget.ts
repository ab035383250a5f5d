import type {IngressLimits, RefusalCause, Sender} from './types.js';

/** What one request holds of the budget. */
export type Holding = Readonly<{
	/** Takes more bytes; returns a cause when there is no room and the request has to be refused. */
	grow: (bytes: number) => RefusalCause | undefined;
	/** Notes that bytes of the body have arrived. */
	recordProgress: (bytes: number) => void;
	/** From here on the request runs and keeps what it holds. */
	passOn: () => void;
	/** Gives everything back; safe to call twice. */
	release: () => void;
}>;

export type BodyBudget = Readonly<{
	/** `giveUp` is called when the request has to make room; what it holds is given back by then. */
	open: (sender: Sender, giveUp: (cause: RefusalCause) => void) => Holding;
	heldBytes: () => number;
	/** Requests that hold something. */
	count: () => number;
}>;

type Entry = {
	readonly sender: Sender;
	readonly giveUp: (cause: RefusalCause) => void;
	bytes: number;
	readonly openedMs: number;
	receivedBytes: number;
	progressMs: number;
	isPassedOn: boolean;
	isOpen: boolean;
};

type Group = {entries: Set<Entry>; bytes: number};

type Shortage = Readonly<{cause: RefusalCause; group: Group}>;

type BudgetOptions = Readonly<{
	limits: Pick<
		IngressLimits,
		'budgetBytes' | 'reserveBytes' | 'customerShare' | 'sourceShare' | 'stallMs' | 'slowGraceMs' | 'minBodyRate'
	>;
	now: () => number;
}>;

/** Requests by one property of their sender. */
const createGroups = () => {
	const groups = new Map<string, Group>();
	return {
		get(key: string): Group {
			const group = groups.get(key) ?? {entries: new Set(), bytes: 0};
			groups.set(key, group);
			return group;
		},
		remove(key: string, entry: Entry): void {
			const group = groups.get(key);
			group?.entries.delete(entry);
			if (group?.entries.size === 0) {
				groups.delete(key);
			}
		},
		/** The group that holds the most, of those with several requests. */
		largest(): Group | undefined {
			let largest: Group | undefined;
			for (const group of groups.values()) {
				if (group.entries.size > 1 && group.bytes > (largest?.bytes ?? 0)) {
					largest = group;
				}
			}

			return largest;
		},
	};
};

/**
Creates the budget of the memory that requests hold until they are answered.

Answers a crowd of bodies that do not end: when there is no room for a request, the requests of the group that takes too much (its customer, its source, or of the customers with several requests the one that holds the most) give way, first the one that has made no progress for the longest time or whose body arrives the slowest, otherwise the one that came last, which may be the one that asks. A request that was passed on never gives way. A customer's only request is bound by neither share and finds the reserve; when all of the budget is held, it gives way too if it makes no progress or is slow. Without a need for room, a body may take any time.

@example
```ts
const budget = createBodyBudget({limits, now: () => performance.now()});
const holding = budget.open({customer: 'acme', source: '10.0.0.7'}, (cause) => refuse(cause));
const cause = holding.grow(4096);
```
*/
export const createBodyBudget = ({limits, now}: BudgetOptions): BodyBudget => {
	const {budgetBytes, reserveBytes, customerShare, sourceShare, stallMs, slowGraceMs, minBodyRate} = limits;
	const all: Group = {entries: new Set(), bytes: 0};
	const customers = createGroups();
	const sources = createGroups();

	const groupsOf = ({sender}: Entry): readonly Group[] => [
		all,
		customers.get(sender.customer),
		sources.get(sender.source),
	];

	const add = (entry: Entry, bytes: number) => {
		entry.bytes += bytes;
		for (const group of groupsOf(entry)) {
			group.bytes += bytes;
		}
	};

	const release = (entry: Entry) => {
		if (!entry.isOpen) {
			return;
		}

		entry.isOpen = false;
		add(entry, -entry.bytes);
		all.entries.delete(entry);
		customers.remove(entry.sender.customer, entry);
		sources.remove(entry.sender.source, entry);
	};

	const findShortage = (entry: Entry, bytes: number): Shortage | undefined => {
		const customer = customers.get(entry.sender.customer);
		const source = sources.get(entry.sender.source);
		const isOnlyRequest = customer.entries.size === 1;
		if (!isOnlyRequest && customer.bytes + bytes > budgetBytes * customerShare) {
			return {cause: 'customer-share', group: customer};
		}

		if (!isOnlyRequest && source.bytes + bytes > budgetBytes * sourceShare) {
			return {cause: 'source-share', group: source};
		}

		const room = isOnlyRequest ? budgetBytes : budgetBytes - reserveBytes;
		return all.bytes + bytes > room ? {cause: 'memory', group: customers.largest() ?? all} : undefined;
	};

	const canGiveWay = (entry: Entry, asker: Entry): boolean => !entry.isPassedOn && (entry.bytes > 0 || entry === asker);

	/** The request that has made no progress for the longest time, otherwise the one whose body arrives the slowest. */
	const findSlowest = ({entries}: Group, asker: Entry): Entry | undefined => {
		const stalledBeforeMs = now() - stallMs;
		let stalled: Entry | undefined;
		let slow: Entry | undefined;
		let slowRate = minBodyRate;
		for (const entry of entries) {
			if (!canGiveWay(entry, asker)) {
				continue;
			}

			if (entry.progressMs <= stalledBeforeMs && entry.progressMs < (stalled?.progressMs ?? Number.POSITIVE_INFINITY)) {
				stalled = entry;
			}

			const ageMs = now() - entry.openedMs;
			const rate = (entry.receivedBytes * 1000) / Math.max(1, ageMs);
			if (ageMs > slowGraceMs && rate < slowRate) {
				slow = entry;
				slowRate = rate;
			}
		}

		return stalled ?? slow;
	};

	/** The request that gives way; `undefined` when all have been passed on. */
	const chooseVictim = (group: Group, asker: Entry): Entry | undefined =>
		findSlowest(group, asker) ?? [...group.entries].findLast((entry) => canGiveWay(entry, asker));

	/** Returns a cause when there is no room. */
	const makeRoom = (entry: Entry, bytes: number): RefusalCause | undefined => {
		for (let shortage = findShortage(entry, bytes); shortage; shortage = findShortage(entry, bytes)) {
			// Nobody keeps all of the memory by sending slowly, in however few requests.
			const slowest = shortage.cause === 'memory' ? findSlowest(all, entry) : undefined;
			const victim = slowest ?? chooseVictim(shortage.group, entry);
			if (!victim || victim === entry) {
				return shortage.cause;
			}

			release(victim);
			victim.giveUp(shortage.cause);
		}

		return undefined;
	};

	return {
		open(sender, giveUp) {
			const entry: Entry = {
				sender,
				giveUp,
				bytes: 0,
				openedMs: now(),
				receivedBytes: 0,
				progressMs: now(),
				isPassedOn: false,
				isOpen: true,
			};
			for (const group of groupsOf(entry)) {
				group.entries.add(entry);
			}

			return {
				grow(bytes) {
					const cause = entry.isOpen ? makeRoom(entry, bytes) : 'memory';
					if (cause === undefined) {
						add(entry, bytes);
					}

					return cause;
				},
				recordProgress(bytes) {
					entry.receivedBytes += bytes;
					entry.progressMs = now();
				},
				passOn() {
					entry.isPassedOn = true;
				},
				release() {
					release(entry);
				},
			};
		},
		heldBytes: () => all.bytes,
		count: () => all.entries.size,
	};
};
