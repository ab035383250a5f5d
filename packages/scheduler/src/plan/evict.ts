import type {Resources} from '../types.js';
import {isEligible, slotsByRack, type PlaceOptions, type WorkerSlot} from './place-part.js';
import {addResources, fits, subtractResources, sumResources} from './resources.js';
import {isTooSlow} from './speed-choice.js';
import type {PlanPart, PlanPlacement} from './types.js';

export type Eviction = Readonly<{
	/** Slots for the part, one for each member. */
	chosen: readonly WorkerSlot[];
	victims: readonly string[];
	/** Work lost by the stops, in core-milliseconds. */
	lostWorkCoreMs: number;
}>;

/** A slot during the search. `free` includes resources that are being freed already; `limit` is the number of further members that the slot may take. */
type CandidateSlot = {readonly slot: WorkerSlot; free: Resources; limit: number};

/** Evictions that free the resources for one more member on a slot. */
type EvictionOption = Readonly<{
	candidate: CandidateSlot;
	victims: readonly PlanPlacement[];
	lostWorkCoreMs: number;
	/** Decides between options: the lost work, plus a penalty for victims at least as urgent as the part itself. */
	cost: number;
}>;

/** Evicting work of the same priority makes it miss its objective, as the part would without the eviction; so it costs the part's own work in addition. */
const costOf = (part: PlanPart, {priority, lostWorkCoreMs}: PlanPlacement): number =>
	lostWorkCoreMs + (priority <= part.priority ? part.workCoreMs : 0);

/** Whether a placement may be stopped for a part. */
type VictimFilter = (part: PlanPart, placement: PlanPlacement) => boolean;

type EvictionSearch = Readonly<{
	/** Parts that are evicted for other parts. */
	alreadyEvicted: ReadonlySet<string>;
	isVictim: VictimFilter;
}>;

const canBeEvictedFor: VictimFilter = (part, placement) =>
	!placement.isStopping &&
	placement.isStoppable &&
	(placement.priority > part.priority ||
		(part.isGuaranteed && !placement.isGuaranteed && placement.customer !== part.customer));

/** Work that a guarantee covers may be stopped for another guarantee if it then runs elsewhere. */
const canBeMovedFor: VictimFilter = (part, placement) =>
	canBeEvictedFor(part, placement) || (placement.isMovable && placement.isStoppable && !placement.isStopping);

const resourcesBeingFreed = ({worker}: WorkerSlot): Resources =>
	sumResources(worker.placements.filter(({isStopping}) => isStopping).map(({need}) => need));

/** The cheapest evictions on the slot that free the resources for one member. */
const cheapestOptionOn = (
	part: PlanPart,
	candidate: CandidateSlot,
	chosen: ReadonlySet<string>,
	isVictim: VictimFilter,
): EvictionOption | undefined => {
	if (candidate.limit <= 0) {
		return undefined;
	}

	let {free} = candidate;
	let lostWorkCoreMs = 0;
	let cost = 0;
	const victims: PlanPlacement[] = [];
	const possible = candidate.slot.worker.placements
		.filter((placement) => isVictim(part, placement) && !chosen.has(placement.partId))
		.toSorted((a, b) => costOf(part, a) - costOf(part, b));
	for (const placement of possible) {
		if (fits(part.need, free)) {
			break;
		}

		free = addResources(free, placement.need);
		lostWorkCoreMs += placement.lostWorkCoreMs;
		cost += costOf(part, placement);
		victims.push(placement);
	}

	return fits(part.need, free) ? {candidate, victims, lostWorkCoreMs, cost} : undefined;
};

const findCheapestEviction = (
	part: PlanPart,
	slots: readonly WorkerSlot[],
	options: PlaceOptions,
	{alreadyEvicted, isVictim}: EvictionSearch,
): Eviction | undefined => {
	const candidates: CandidateSlot[] = slots.map((slot) => ({
		slot,
		free: addResources(slot.free, resourcesBeingFreed(slot)),
		limit:
			part.maxPerWorker > 0
				? part.maxPerWorker - (slot.units.get(part.stepId) ?? options.unitsOnWorker(part.stepId, slot.worker.id))
				: Number.POSITIVE_INFINITY,
	}));
	const victims = new Set<string>(alreadyEvicted);
	const chosen: WorkerSlot[] = [];
	let lostWorkCoreMs = 0;

	/** Frees the resources of a victim on all slots, because the members of a gang end together. */
	const evictPart = (partId: string) => {
		victims.add(partId);
		for (const candidate of candidates) {
			for (const placement of candidate.slot.worker.placements) {
				if (placement.partId === partId) {
					candidate.free = addResources(candidate.free, placement.need);
				}
			}
		}
	};

	while (chosen.length < part.members) {
		let best: EvictionOption | undefined;
		for (const candidate of candidates) {
			const option = cheapestOptionOn(part, candidate, victims, isVictim);
			if (option && (!best || option.cost < best.cost)) {
				best = option;
			}
		}

		if (!best) {
			return undefined;
		}

		for (const {partId} of best.victims) {
			evictPart(partId);
		}

		best.candidate.free = subtractResources(best.candidate.free, part.need);
		best.candidate.limit -= 1;
		lostWorkCoreMs += best.lostWorkCoreMs;
		chosen.push(best.candidate.slot);
	}

	return {chosen, victims: [...victims].filter((partId) => !alreadyEvicted.has(partId)), lostWorkCoreMs};
};

const findInOneRack = (
	part: PlanPart,
	slots: readonly WorkerSlot[],
	options: PlaceOptions,
	search: EvictionSearch,
): Eviction | undefined => {
	let best: Eviction | undefined;
	for (const rackSlots of slotsByRack(slots).values()) {
		const found = findCheapestEviction(part, rackSlots, options, search);
		if (found && (!best || found.lostWorkCoreMs < best.lostWorkCoreMs)) {
			best = found;
		}
	}

	return best;
};

/** Whether the victims that a guarantee covers find room elsewhere when the part has its slots. */
const canRelocate = (part: PlanPart, {chosen, victims}: Eviction, slots: readonly WorkerSlot[]): boolean => {
	const isVictim = ({partId}: PlanPlacement): boolean => victims.includes(partId);
	const rooms = slots.map((slot) => {
		const freed = sumResources(slot.worker.placements.filter((placement) => isVictim(placement)).map(({need}) => need));
		const taken = sumResources(chosen.filter((other) => other === slot).map(() => part.need));
		return {slot, free: subtractResources(addResources(slot.free, freed), taken)};
	});
	const moved = slots
		.flatMap(({worker}) => worker.placements)
		.filter((placement) => isVictim(placement) && placement.isGuaranteed)
		.toSorted((a, b) => b.need.accelerators - a.need.accelerators);
	return moved.every(({need, requiredLabel}) => {
		const room = rooms.find(
			({slot: {worker, reservation}, free}) =>
				reservation === 'none' &&
				worker.service === part.service &&
				!worker.isSuspect &&
				(requiredLabel === undefined || worker.labels.includes(requiredLabel)) &&
				fits(need, free),
		);
		if (room) {
			room.free = subtractResources(room.free, need);
		}

		return room !== undefined;
	});
};

/**
Finds slots for a part by evicting other work, with the least lost work; `undefined` when even evictions don't free enough. Resources that are being freed already need no victim.

@example
```ts
const eviction = findEviction(part, slots, options, new Set());
```
*/
export const findEviction = (
	part: PlanPart,
	slots: readonly WorkerSlot[],
	options: PlaceOptions,
	alreadyEvicted: ReadonlySet<string>,
): Eviction | undefined => {
	const eligible = slots.filter(
		({worker}) => isEligible(part, worker) && !worker.isSuspect && !isTooSlow(part, worker),
	);
	const near = eligible.filter(({worker}) => part.dataRack === undefined || worker.rack === part.dataRack);
	const search = {alreadyEvicted, isVictim: canBeEvictedFor};
	const found =
		part.sameRack && part.members > 1
			? findInOneRack(part, near, options, search)
			: findCheapestEviction(part, near, options, search);
	if (found !== undefined || !part.isGuaranteed) {
		return found;
	}

	// A guarantee must be met even when no single rack, or not the rack with the data, can hold the part.
	const spread = findCheapestEviction(part, eligible, options, search);
	if (spread) {
		return spread;
	}

	const move = findCheapestEviction(part, eligible, options, {alreadyEvicted, isVictim: canBeMovedFor});
	return move && canRelocate(part, move, slots) ? move : undefined;
};
