import {isEligible, memberLimit, membersIn, type PlaceOptions, type WorkerSlot} from './place-part.js';
import {addResources, fits, sumResources} from './resources.js';
import {isTooSlow} from './speed-choice.js';
import type {PlanPart, PlanWorker} from './types.js';

/** Time at which the worker has enough free resources for one member if nothing new starts on it. */
export const freeAtMs = (part: PlanPart, worker: PlanWorker, nowMs: number): number => {
	let {free} = worker;
	for (const {need, endMs} of worker.placements.toSorted((a, b) => a.endMs - b.endMs)) {
		if (fits(part.need, free)) {
			break;
		}

		free = addResources(free, need);
		if (fits(part.need, free)) {
			return Math.max(nowMs, endMs);
		}
	}

	return fits(part.need, free) ? nowMs : Number.POSITIVE_INFINITY;
};

export type ReserveOptions = Readonly<{
	/** Most workers that may be reserved. */
	budget: number;
	nowMs: number;
	place: PlaceOptions;
}>;

/** A worker that could be reserved. */
type ExpectedOpening = Readonly<{
	slot: WorkerSlot;
	/** Expected time at which it has enough free resources for a member. */
	atMs: number;
	/** Members that it will hold. */
	members: number;
}>;

/** Members that the slot will hold when all running work that ends has ended. Long-running units never end. */
const expectedMembers = (part: PlanPart, slot: WorkerSlot, options: PlaceOptions): number => {
	const {free, placements} = slot.worker;
	const ending = placements.filter(({endMs}) => endMs < Number.POSITIVE_INFINITY).map(({need}) => need);
	return Math.min(
		membersIn(part, addResources(free, sumResources(ending))),
		Math.max(0, memberLimit(part, slot, options)),
	);
};

/** The shortest prefix of the openings that holds all members; empty if even all openings don't suffice. */
const earliestSufficient = (part: PlanPart, openings: readonly ExpectedOpening[]): readonly ExpectedOpening[] => {
	let held = 0;
	const count = openings.findIndex(({members}) => {
		held += members;
		return held >= part.members;
	});
	return openings.slice(0, count + 1);
};

/** Openings in the rack that can hold all members earliest; openings spread over several racks would be of little use to the part. */
const earliestRackFor = (part: PlanPart, openings: readonly ExpectedOpening[]): readonly ExpectedOpening[] => {
	const byRack = new Map<string, ExpectedOpening[]>();
	for (const opening of openings) {
		const {rack} = opening.slot.worker;
		byRack.set(rack, [...(byRack.get(rack) ?? []), opening]);
	}

	let best: readonly ExpectedOpening[] = [];
	let bestMs = Number.POSITIVE_INFINITY;
	for (const rackOpenings of byRack.values()) {
		const chosen = earliestSufficient(part, rackOpenings);
		const atMs = chosen.at(-1)?.atMs ?? Number.POSITIVE_INFINITY;
		if (atMs < bestMs) {
			best = chosen;
			bestMs = atMs;
		}
	}

	return best;
};

/**
Reserves workers for a part that can't be placed yet, so that smaller parts behind it don't use up all resources that become free. Returns the reserved slots; none if the part could not start on its workers even if no other part did, since its reservation would keep other parts waiting for nothing.
*/
export const reserve = (
	part: PlanPart,
	slots: readonly WorkerSlot[],
	{budget, nowMs, place}: ReserveOptions,
): readonly WorkerSlot[] => {
	const open = slots
		.filter(({worker, reservation}) => reservation === 'none' && isEligible(part, worker) && !isTooSlow(part, worker))
		.filter(({worker}) => !part.dataRack || worker.rack === part.dataRack)
		.map((slot) => ({
			slot,
			atMs: freeAtMs(part, slot.worker, nowMs),
			members: expectedMembers(part, slot, place),
		}))
		.filter(({atMs, members}) => atMs < Number.POSITIVE_INFINITY && members > 0)
		.toSorted((a, b) => Number(a.slot.worker.isSuspect) - Number(b.slot.worker.isSuspect) || a.atMs - b.atMs);
	const chosen = part.sameRack && part.members > 1 ? earliestRackFor(part, open) : earliestSufficient(part, open);
	// The part may run on suspected workers, but they are not worth waiting for.
	const reserved = chosen.filter(({slot}) => !slot.worker.isSuspect).slice(0, budget);
	for (const {slot} of reserved) {
		slot.reservation = 'waiting';
	}

	return reserved.map(({slot}) => slot);
};
