import type {Resources} from '../types.js';
import {LAST_ATTEMPT_WAIT_MS, RESERVATION_YIELD_MS} from './constants.js';
import type {PlanPolicy} from './policy.js';
import {interferenceCostOf} from './interference-cost.js';
import {fits, shareOf, subtractResources} from './resources.js';
import {isTooSlow, speedCostOf} from './speed-choice.js';
import {hasOtherSuspect, isEmpty, needsEmptyWorker} from './trials.js';
import type {PlanPart, PlanView, PlanWorker} from './types.js';

/** Whether a worker is kept for a part of an earlier rank. */
export type Reservation =
	| 'none'
	/** For a part that waits until running work has ended. */
	| 'waiting'
	/** For a part that is started, or that other work is being stopped for. */
	| 'in-use';

/** State of a worker that changes during a pass. */
export type WorkerSlot = {
	readonly worker: PlanWorker;
	free: Resources;
	reservation: Reservation;
	/** Units on the worker by step, including those placed in this pass; has entries only for steps placed in this pass. */
	readonly units: Map<string, number>;
	/** Kinds of the units placed in this pass. */
	readonly kinds: Set<string>;
};

export type PlaceOptions = Readonly<{
	unitsOnWorker: (stepId: string, workerId: string) => number;
	remoteFactor: number;
	/** All listed workers, usable or not. */
	workers: readonly PlanWorker[];
	/** Whether less than half of the resources of the service's workers is in use. */
	isPoolIdle: (service: string) => boolean;
	mayLeaveRack: PlanPolicy['mayLeaveRack'];
	slowdownOf: PlanView['slowdownOf'];
}>;

/** Whether the worker could hold a unit of the part when empty, even if it accepts no work now. */
export const canHold = (part: PlanPart, worker: PlanWorker): boolean =>
	worker.service === part.service &&
	(part.requiredLabel === undefined || worker.labels.includes(part.requiredLabel)) &&
	fits(part.need, worker.capacity);

/** Whether the worker accepts work and could hold a unit of the part, regardless of the part's allowed workers. */
export const isSuitable = (part: PlanPart, worker: PlanWorker): boolean => worker.isUsable && canHold(part, worker);

export const isEligible = (part: PlanPart, worker: PlanWorker): boolean =>
	(part.allowedWorkers?.has(worker.id) ?? true) && isSuitable(part, worker);

const unitsOf = (part: PlanPart, slot: WorkerSlot, options: PlaceOptions): number =>
	slot.units.get(part.stepId) ?? options.unitsOnWorker(part.stepId, slot.worker.id);

/** Members of the part that its step allows on the slot, beside its units that are there. */
export const memberLimit = (part: PlanPart, slot: WorkerSlot, options: PlaceOptions): number =>
	part.maxPerWorker > 0 ? part.maxPerWorker - unitsOf(part, slot, options) : Number.POSITIVE_INFINITY;

/** Members of the part that fit on the slot, at most `maxCount`. */
const countFitting = (part: PlanPart, slot: WorkerSlot, maxCount: number, options: PlaceOptions): number => {
	let {free} = slot;
	const limit = Math.min(maxCount, memberLimit(part, slot, options));
	let count = 0;
	while (count < limit && fits(part.need, free)) {
		free = subtractResources(free, part.need);
		count += 1;
	}

	return count;
};

/** Lower is better. Prefers, in this order: workers that are neither suspected nor avoided, for best-effort units workers without contention, workers near the data, workers of the right speed, workers without harmful neighbours, for a last attempt workers with a recent success, and the fullest workers. */
const costOf = (part: PlanPart, slot: WorkerSlot, options: PlaceOptions): number => {
	const {worker} = slot;
	const isRemote = part.dataRack !== undefined && part.dataRack !== worker.rack;
	const remoteFactor = isRemote ? options.remoteFactor : 1;
	const isDeprioritized = worker.isSuspect || part.avoidedWorkers.has(worker.id);
	const remaining = subtractResources(slot.free, part.need);
	return (
		(isDeprioritized ? 100 : 0) +
		(part.isBestEffort && worker.isContended ? 50 : 0) +
		(part.isLastAttempt ? 5 * worker.unprovenShare : 0) +
		10 * remoteFactor +
		speedCostOf(part, worker, remoteFactor) +
		interferenceCostOf(part, slot, options.slowdownOf) +
		// Filling the fullest worker first keeps other workers empty for large units. The crash of an empty one harms least.
		(part.crashSuspicion === 'none' ? 1 : -1) * shareOf(remaining, worker.capacity)
	);
};

const mayLeaveRack = (part: PlanPart, {remoteFactor, isPoolIdle, ...options}: PlaceOptions): boolean =>
	options.mayLeaveRack(part, {remoteFactor, isPoolIdle: isPoolIdle(part.service)});

const acceptsRemote = (part: PlanPart, options: PlaceOptions): boolean =>
	part.dataRack === undefined || mayLeaveRack(part, options);

/** Whether the part has waited so long that workers are not kept from it for a part that can't use them yet. In a busy pool a reservation is the only way for a large part to start, but long-running work serves its users only while it runs. */
export const mayUseReserved = ({service, waitedMs, isLongRunning}: PlanPart, {isPoolIdle}: PlaceOptions): boolean =>
	waitedMs >= RESERVATION_YIELD_MS && (isLongRunning || isPoolIdle(service));

const isOpenTo = (part: PlanPart, {reservation}: WorkerSlot, options: PlaceOptions): boolean =>
	reservation === 'none' || (reservation === 'waiting' && mayUseReserved(part, options));

/** A last attempt waits for a while for workers that are not suspected. */
const isTooRisky = (part: PlanPart, {isSuspect}: PlanWorker): boolean =>
	isSuspect && part.isLastAttempt && part.waitedMs < LAST_ATTEMPT_WAIT_MS;

const isCandidate = (part: PlanPart, slot: WorkerSlot, isRemoteAccepted: boolean, options: PlaceOptions): boolean =>
	isOpenTo(part, slot, options) &&
	(!needsEmptyWorker(part) || isEmpty(slot)) &&
	!hasOtherSuspect(part, slot.worker) &&
	!isTooRisky(part, slot.worker) &&
	!isTooSlow(part, slot.worker) &&
	isEligible(part, slot.worker) &&
	(isRemoteAccepted || slot.worker.rack === part.dataRack);

const sortedCandidates = (part: PlanPart, slots: readonly WorkerSlot[], options: PlaceOptions): WorkerSlot[] => {
	const isRemoteAccepted = acceptsRemote(part, options);
	return slots
		.filter((slot) => fits(part.need, slot.free) && isCandidate(part, slot, isRemoteAccepted, options))
		.map((slot) => ({slot, cost: costOf(part, slot, options)}))
		.toSorted((a, b) => a.cost - b.cost)
		.map(({slot}) => slot);
};

/** The best slot for a part with one member. Most parts have one, so this path avoids the sort. */
const findSlot = (part: PlanPart, slots: readonly WorkerSlot[], options: PlaceOptions): WorkerSlot | undefined => {
	const isRemoteAccepted = acceptsRemote(part, options);
	let best: WorkerSlot | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const slot of slots) {
		if (
			fits(part.need, slot.free) &&
			isCandidate(part, slot, isRemoteAccepted, options) &&
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

const fillSlots = (
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

/** Number of members that the resources hold, at most all of them. */
export const membersIn = ({need, members}: PlanPart, resources: Resources): number => {
	const limits = [
		need.accelerators > 0 ? resources.accelerators / need.accelerators : Number.POSITIVE_INFINITY,
		need.cpuMillis > 0 ? resources.cpuMillis / need.cpuMillis : Number.POSITIVE_INFINITY,
		need.memoryMb > 0 ? resources.memoryMb / need.memoryMb : Number.POSITIVE_INFINITY,
		members,
	];
	return Math.max(0, Math.floor(Math.min(...limits)));
};

/** Number of members that an empty worker holds. */
export const membersOn = (part: PlanPart, {capacity}: PlanWorker): number =>
	Math.min(membersIn(part, capacity), part.maxPerWorker > 0 ? part.maxPerWorker : Number.POSITIVE_INFINITY);

/**
Whether any rack could hold the whole part if it were empty; racks shrink as workers leave. Workers that accept no work at the moment count too, because right after a change of leader most workers don't accept any yet.
*/
const canAnyRackHold = (part: PlanPart, workers: readonly PlanWorker[]): boolean => {
	if (part.allowedWorkers) {
		// More workers may be approved.
		return true;
	}

	const held = new Map<string, number>();
	for (const worker of workers) {
		if (!worker.isDraining && canHold(part, worker)) {
			held.set(worker.rack, (held.get(worker.rack) ?? 0) + membersOn(part, worker));
		}
	}

	return [...held.values()].some((count) => count >= part.members);
};

/**
Finds workers for all members of a part, or none, without changing the slots. A gang that is slower across racks is placed in one rack, unless no rack can hold it or it has waited longer than the extra time of the slower run.

@example
```ts
const chosen = findPlacement(part, slots, {unitsOnWorker, remoteFactor: 3, workers, isPoolIdle: false, mayLeaveRack, slowdownOf: undefined});
```
*/
export const findPlacement = (
	part: PlanPart,
	slots: readonly WorkerSlot[],
	options: PlaceOptions,
): readonly WorkerSlot[] | undefined => {
	if (part.members === 1) {
		const slot = findSlot(part, slots, options);
		return slot && [slot];
	}

	const sorted = sortedCandidates(part, slots, options);
	if (!part.sameRack) {
		return fillSlots(part, sorted, options);
	}

	// Best fit: choose the rack with the fewest free accelerators.
	let best: readonly WorkerSlot[] | undefined;
	let bestSpare = Number.POSITIVE_INFINITY;
	for (const rackSlots of slotsByRack(sorted).values()) {
		const chosen = fillSlots(part, rackSlots, options);
		const spare = rackSlots.reduce((sum, slot) => sum + slot.free.accelerators, 0);
		if (chosen && spare < bestSpare) {
			best = chosen;
			bestSpare = spare;
		}
	}

	if (best !== undefined) {
		return best;
	}

	// The search for a rack that could hold the part takes long in a large fleet, so it comes last.
	const spread = fillSlots(part, sorted, options);
	const isSpreadAllowed = () => mayLeaveRack(part, options) || !canAnyRackHold(part, options.workers);
	return spread && isSpreadAllowed() ? spread : undefined;
};

/** Subtracts the resources of the members from the slots. */
export const allocate = (part: PlanPart, chosen: readonly WorkerSlot[], options: PlaceOptions): void => {
	for (const slot of chosen) {
		slot.free = subtractResources(slot.free, part.need);
		slot.units.set(part.stepId, unitsOf(part, slot, options) + 1);
		slot.kinds.add(part.kind);
	}
};
