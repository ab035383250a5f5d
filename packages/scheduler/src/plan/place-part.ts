import type {Room} from '../types.js';
import {MAX_IDLE_DATA_WAIT_MS} from './constants.js';
import {fits, shareOf, subtractRoom} from './room.js';
import type {PlanPart, PlanWorker} from './types.js';

/** What a pass changes about a worker. */
export type WorkerSlot = {
	readonly worker: PlanWorker;
	free: Room;
	/** Kept free for an earlier part. */
	isReserved: boolean;
	/** Units by step that were on the worker or are placed in this pass. */
	readonly units: Map<string, number>;
};

export type PlaceOptions = Readonly<{
	unitsOnWorker: (stepId: string, workerId: string) => number;
	remoteFactor: number;
	/** Less than half of the workers' room is in use. */
	isPoolIdle: boolean;
}>;

/** Whether the worker could ever run a unit of the part, if the part is allowed there. */
export const isSuitable = (part: PlanPart, worker: PlanWorker): boolean =>
	worker.isUsable &&
	worker.service === part.service &&
	(part.requiredLabel === undefined || worker.labels.includes(part.requiredLabel)) &&
	fits(part.need, worker.capacity);

export const isEligible = (part: PlanPart, worker: PlanWorker): boolean =>
	(part.allowedWorkers?.has(worker.id) ?? true) && isSuitable(part, worker);

const unitsOf = (part: PlanPart, slot: WorkerSlot, options: PlaceOptions): number =>
	slot.units.get(part.stepId) ?? options.unitsOnWorker(part.stepId, slot.worker.id);

const memberLimit = (part: PlanPart, slot: WorkerSlot, options: PlaceOptions): number =>
	part.maxPerWorker > 0 ? part.maxPerWorker - unitsOf(part, slot, options) : Number.POSITIVE_INFINITY;

/** Members of the part that fit on the slot, at most `wanted`. */
const countFitting = (part: PlanPart, slot: WorkerSlot, wanted: number, options: PlaceOptions): number => {
	let {free} = slot;
	const limit = Math.min(wanted, memberLimit(part, slot, options));
	let count = 0;
	while (count < limit && fits(part.need, free)) {
		free = subtractRoom(free, part.need);
		count += 1;
	}

	return count;
};

/** Lower is better: workers without suspicion, without users that it would disturb, near the data, the fullest first. */
const costOf = (part: PlanPart, slot: WorkerSlot, options: PlaceOptions): number => {
	const {worker} = slot;
	const isRemote = part.dataRack !== undefined && part.dataRack !== worker.rack;
	const isDoubtful = worker.isSuspect || part.avoidedWorkers.has(worker.id);
	const left = subtractRoom(slot.free, part.need);
	return (
		(isDoubtful ? 100 : 0) +
		(part.usesLeftover && worker.isCrowded ? 50 : 0) +
		10 * (isRemote ? options.remoteFactor : 1) +
		// Filling up the fullest worker keeps others whole for large units.
		shareOf(left, worker.capacity)
	);
};

/**
A unit away from its data takes longer than waiting for a worker near it, unless it has waited that long. In a pool that is mostly idle it waits only briefly: its data may be in a rack that cannot hold it.
*/
const acceptsRemote = (part: PlanPart, options: PlaceOptions): boolean =>
	part.dataRack === undefined ||
	part.waitedMs > (options.remoteFactor - 1) * part.estimateMs ||
	(options.isPoolIdle && part.waitedMs > MAX_IDLE_DATA_WAIT_MS);

const isCandidate = (part: PlanPart, slot: WorkerSlot, isRemoteAccepted: boolean): boolean =>
	!slot.isReserved && isEligible(part, slot.worker) && (isRemoteAccepted || slot.worker.rack === part.dataRack);

const candidates = (part: PlanPart, slots: readonly WorkerSlot[], options: PlaceOptions): WorkerSlot[] => {
	const isRemoteAccepted = acceptsRemote(part, options);
	return slots
		.filter((slot) => isCandidate(part, slot, isRemoteAccepted) && fits(part.need, slot.free))
		.map((slot) => ({slot, cost: costOf(part, slot, options)}))
		.toSorted((a, b) => a.cost - b.cost)
		.map(({slot}) => slot);
};

/** The best slot for a part with one member; most parts are such. */
const findSlot = (part: PlanPart, slots: readonly WorkerSlot[], options: PlaceOptions): WorkerSlot | undefined => {
	const isRemoteAccepted = acceptsRemote(part, options);
	let best: WorkerSlot | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const slot of slots) {
		if (
			fits(part.need, slot.free) &&
			isCandidate(part, slot, isRemoteAccepted) &&
			memberLimit(part, slot, options) > 0
		) {
			const cost = costOf(part, slot, options);
			if (cost < bestCost) {
				best = slot;
				bestCost = cost;
			}
		}
	}

	return best;
};

const fill = (
	part: PlanPart,
	slots: readonly WorkerSlot[],
	options: PlaceOptions,
): readonly WorkerSlot[] | undefined => {
	const chosen: WorkerSlot[] = [];
	for (const slot of slots) {
		const count = countFitting(part, slot, part.members - chosen.length, options);
		for (let index = 0; index < count; index += 1) {
			chosen.push(slot);
		}

		if (chosen.length === part.members) {
			return chosen;
		}
	}

	return undefined;
};

/**
Finds workers for all members of a part, or none; changes nothing.

@example
```ts
const slots = findPlace(part, allSlots, {unitsOnWorker, remoteFactor: 3, isPoolIdle: false});
```
*/
export const findPlace = (
	part: PlanPart,
	slots: readonly WorkerSlot[],
	options: PlaceOptions,
): readonly WorkerSlot[] | undefined => {
	if (part.members === 1) {
		const slot = findSlot(part, slots, options);
		return slot && [slot];
	}

	const sorted = candidates(part, slots, options);
	if (!part.sameRack) {
		return fill(part, sorted, options);
	}

	// The best rack is the one with the least room to spare.
	const byRack = new Map<string, WorkerSlot[]>();
	for (const slot of sorted) {
		byRack.set(slot.worker.rack, [...(byRack.get(slot.worker.rack) ?? []), slot]);
	}

	let best: readonly WorkerSlot[] | undefined;
	let bestSpare = Number.POSITIVE_INFINITY;
	for (const rackSlots of byRack.values()) {
		const chosen = fill(part, rackSlots, options);
		const spare = rackSlots.reduce((sum, slot) => sum + slot.free.accelerators, 0);
		if (chosen && spare < bestSpare) {
			best = chosen;
			bestSpare = spare;
		}
	}

	return best;
};

/** Takes the room of the members from the slots. */
export const takePlace = (part: PlanPart, chosen: readonly WorkerSlot[], options: PlaceOptions): void => {
	for (const slot of chosen) {
		slot.free = subtractRoom(slot.free, part.need);
		slot.units.set(part.stepId, unitsOf(part, slot, options) + 1);
	}
};
