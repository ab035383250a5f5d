import type {Room} from '../types.js';
import {isEligible, slotsByRack, type PlaceOptions, type WorkerSlot} from './place-part.js';
import {addRoom, fits, subtractRoom, sumRoom} from './room.js';
import type {PlanPart, PlanPlacement} from './types.js';

export type Eviction = Readonly<{
	/** One slot for each member. */
	chosen: readonly WorkerSlot[];
	victims: readonly string[];
	/** Work that the stops throw away, in core-milliseconds. */
	lossCoreMs: number;
}>;

/** Room of a slot during the search, with what is already being freed. */
type Draft = {readonly slot: WorkerSlot; room: Room; limit: number};

/** Stops that make room for one more member on a slot. */
type Option = Readonly<{
	draft: Draft;
	victims: readonly PlanPlacement[];
	lossCoreMs: number;
	/** What decides between options: the work lost, and more for work as urgent as the part itself. */
	cost: number;
}>;

/** Work of the same priority then misses what it was promised, as the part would without the stop. */
const costOf = (part: PlanPart, {priority, lossCoreMs}: PlanPlacement): number =>
	lossCoreMs + (priority <= part.priority ? part.workCoreMs : 0);

const canGiveWay = (part: PlanPart, placement: PlanPlacement): boolean =>
	!placement.isStopping &&
	placement.isStoppable &&
	(placement.priority > part.priority ||
		(part.isGuaranteed && !placement.isGuaranteed && placement.customer !== part.customer));

const stoppingRoom = ({worker}: WorkerSlot): Room =>
	sumRoom(worker.placements.filter(({isStopping}) => isStopping).map(({need}) => need));

/** Cheapest stops on the slot that make room for one member. */
const optionOn = (part: PlanPart, draft: Draft, chosen: ReadonlySet<string>): Option | undefined => {
	if (draft.limit <= 0) {
		return undefined;
	}

	let {room} = draft;
	let lossCoreMs = 0;
	let cost = 0;
	const victims: PlanPlacement[] = [];
	const possible = draft.slot.worker.placements
		.filter((placement) => canGiveWay(part, placement) && !chosen.has(placement.partId))
		.toSorted((a, b) => costOf(part, a) - costOf(part, b));
	for (const placement of possible) {
		if (fits(part.need, room)) {
			break;
		}

		room = addRoom(room, placement.need);
		lossCoreMs += placement.lossCoreMs;
		cost += costOf(part, placement);
		victims.push(placement);
	}

	return fits(part.need, room) ? {draft, victims, lossCoreMs, cost} : undefined;
};

const search = (
	part: PlanPart,
	slots: readonly WorkerSlot[],
	options: PlaceOptions,
	given: ReadonlySet<string>,
): Eviction | undefined => {
	const drafts: Draft[] = slots.map((slot) => ({
		slot,
		room: addRoom(slot.free, stoppingRoom(slot)),
		limit:
			part.maxPerWorker > 0
				? part.maxPerWorker - (slot.units.get(part.stepId) ?? options.unitsOnWorker(part.stepId, slot.worker.id))
				: Number.POSITIVE_INFINITY,
	}));
	const victims = new Set<string>(given);
	const chosen: WorkerSlot[] = [];
	let lossCoreMs = 0;

	/** Frees the room of a victim on all slots, since the members of a gang end together. */
	const free = (partId: string) => {
		victims.add(partId);
		for (const draft of drafts) {
			for (const placement of draft.slot.worker.placements) {
				if (placement.partId === partId) {
					draft.room = addRoom(draft.room, placement.need);
				}
			}
		}
	};

	while (chosen.length < part.members) {
		let best: Option | undefined;
		for (const draft of drafts) {
			const option = optionOn(part, draft, victims);
			if (option && (!best || option.cost < best.cost)) {
				best = option;
			}
		}

		if (!best) {
			return undefined;
		}

		for (const {partId} of best.victims) {
			free(partId);
		}

		best.draft.room = subtractRoom(best.draft.room, part.need);
		best.draft.limit -= 1;
		lossCoreMs += best.lossCoreMs;
		chosen.push(best.draft.slot);
	}

	return {chosen, victims: [...victims].filter((partId) => !given.has(partId)), lossCoreMs};
};

const findInOneRack = (
	part: PlanPart,
	slots: readonly WorkerSlot[],
	options: PlaceOptions,
	given: ReadonlySet<string>,
): Eviction | undefined => {
	let best: Eviction | undefined;
	for (const rackSlots of slotsByRack(slots).values()) {
		const found = search(part, rackSlots, options, given);
		if (found && (!best || found.lossCoreMs < best.lossCoreMs)) {
			best = found;
		}
	}

	return best;
};

/**
Finds room for a part by letting other work give way, with the least work thrown away; `undefined` when even that does not help. Room that is already being freed needs no victim.

@example
```ts
const eviction = findEviction(part, slots, options, new Set());
```
*/
export const findEviction = (
	part: PlanPart,
	slots: readonly WorkerSlot[],
	options: PlaceOptions,
	given: ReadonlySet<string>,
): Eviction | undefined => {
	const eligible = slots.filter(({worker}) => isEligible(part, worker) && !worker.isSuspect);
	const near = eligible.filter(({worker}) => part.dataRack === undefined || worker.rack === part.dataRack);
	const found =
		part.sameRack && part.members > 1 ? findInOneRack(part, near, options, given) : search(part, near, options, given);
	// A guarantee holds also where no rack, or not that of the data, can hold the part.
	return found ?? (part.isGuaranteed ? search(part, eligible, options, given) : undefined);
};
