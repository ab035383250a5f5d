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
	/** All workers that are listed. */
	workers: readonly PlanWorker[];
	/** Less than half of the workers' room is in use. */
	isPoolIdle: boolean;
}>;

/** Whether the worker could ever hold a unit of the part, whether or not it takes work now. */
const isMatch = (part: PlanPart, worker: PlanWorker): boolean =>
	worker.service === part.service &&
	(part.requiredLabel === undefined || worker.labels.includes(part.requiredLabel)) &&
	fits(part.need, worker.capacity);

/** Whether the worker takes units like those of the part, if the part is allowed there. */
export const isSuitable = (part: PlanPart, worker: PlanWorker): boolean => worker.isUsable && isMatch(part, worker);

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
Work away from its data, or spread over racks, takes longer than waiting for a better place, unless it has waited that long. In a pool that is mostly idle it waits only briefly: no rack may be able to hold it.
*/
const hasWaitedEnough = (part: PlanPart, options: PlaceOptions): boolean =>
	part.waitedMs > (options.remoteFactor - 1) * part.estimateMs ||
	(options.isPoolIdle && part.waitedMs > MAX_IDLE_DATA_WAIT_MS);

const acceptsRemote = (part: PlanPart, options: PlaceOptions): boolean =>
	part.dataRack === undefined || hasWaitedEnough(part, options);

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

export const slotsByRack = (slots: readonly WorkerSlot[]): ReadonlyMap<string, readonly WorkerSlot[]> => {
	const byRack = new Map<string, WorkerSlot[]>();
	for (const slot of slots) {
		const rackSlots = byRack.get(slot.worker.rack);
		if (rackSlots) {
			rackSlots.push(slot);
		} else {
			byRack.set(slot.worker.rack, [slot]);
		}
	}

	return byRack;
};

/** Members that an empty worker holds. */
export const membersOn = (part: PlanPart, {capacity}: PlanWorker): number => {
	const limits = [
		part.need.accelerators > 0 ? capacity.accelerators / part.need.accelerators : Number.POSITIVE_INFINITY,
		part.need.cpuMillis > 0 ? capacity.cpuMillis / part.need.cpuMillis : Number.POSITIVE_INFINITY,
		part.need.memoryMb > 0 ? capacity.memoryMb / part.need.memoryMb : Number.POSITIVE_INFINITY,
		part.maxPerWorker > 0 ? part.maxPerWorker : Number.POSITIVE_INFINITY,
		part.members,
	];
	return Math.floor(Math.min(...limits));
};

/**
Whether a rack could hold the whole part if it were empty; racks shrink as workers leave. Workers that take no work just now count: right after a change of leader that is most of them.
*/
const hasRackFor = (part: PlanPart, workers: readonly PlanWorker[]): boolean => {
	if (part.allowedWorkers) {
		// More workers may be approved.
		return true;
	}

	const held = new Map<string, number>();
	for (const worker of workers) {
		if (!worker.isLeaving && isMatch(part, worker)) {
			held.set(worker.rack, (held.get(worker.rack) ?? 0) + membersOn(part, worker));
		}
	}

	return [...held.values()].some((count) => count >= part.members);
};

/**
Finds workers for all members of a part, or none; changes nothing. A gang that is slower across racks gets one rack, unless no rack can hold it or it has waited longer than the slower run takes.

@example
```ts
const slots = findPlace(part, allSlots, {unitsOnWorker, remoteFactor: 3, workers, isPoolIdle: false});
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
	let best: readonly WorkerSlot[] | undefined;
	let bestSpare = Number.POSITIVE_INFINITY;
	for (const rackSlots of slotsByRack(sorted).values()) {
		const chosen = fill(part, rackSlots, options);
		const spare = rackSlots.reduce((sum, slot) => sum + slot.free.accelerators, 0);
		if (chosen && spare < bestSpare) {
			best = chosen;
			bestSpare = spare;
		}
	}

	if (best === undefined && (hasWaitedEnough(part, options) || !hasRackFor(part, options.workers))) {
		return fill(part, sorted, options);
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
