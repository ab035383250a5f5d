import type {Room} from '../types.js';
import {findPlace, type PlaceOptions, type WorkerSlot} from './place-part.js';
import {addRoom, fits} from './room.js';
import type {PlanPart, PlanPlacement} from './types.js';

/** Placements that may give way to the part, those with the least loss first. */
const victimsOf = (part: PlanPart, slot: WorkerSlot, given: ReadonlySet<string>): readonly PlanPlacement[] =>
	slot.worker.placements
		.filter(({partId, priority, isStopping}) => priority > part.priority && !isStopping && !given.has(partId))
		.toSorted((a, b) => b.priority - a.priority || a.lossMs - b.lossMs);

/** Room that is about to become free and is not yet counted as free. */
const stoppingRoom = ({worker}: WorkerSlot): Room => {
	let room: Room = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
	for (const {need, isStopping} of worker.placements) {
		if (isStopping) {
			room = addRoom(room, need);
		}
	}

	return room;
};

export type Eviction = Readonly<{chosen: readonly WorkerSlot[]; victims: readonly string[]}>;

/**
Finds workers for a part by letting work of lower priority give way; `undefined` when even that does not help. Members that wait for room which is already being freed need no victim.
*/
export const findEviction = (
	part: PlanPart,
	slots: readonly WorkerSlot[],
	options: PlaceOptions,
	given: ReadonlySet<string>,
): Eviction | undefined => {
	const possible = (slot: WorkerSlot): Room => {
		let room = addRoom(slot.free, stoppingRoom(slot));
		for (const {need} of victimsOf(part, slot, given)) {
			room = addRoom(room, need);
		}

		return room;
	};

	const lossOf = (slot: WorkerSlot): number => {
		let room = addRoom(slot.free, stoppingRoom(slot));
		let loss = 0;
		for (const victim of victimsOf(part, slot, given)) {
			if (fits(part.need, room)) {
				break;
			}

			room = addRoom(room, victim.need);
			loss += victim.lossMs;
		}

		return loss;
	};

	const byLoss = slots
		.map((slot) => ({slot, loss: lossOf(slot)}))
		.toSorted((a, b) => a.loss - b.loss)
		.map(({slot}) => slot);
	const chosen = findPlace(part, byLoss, {...options, freeOf: possible, includeReserved: true});
	if (!chosen) {
		return undefined;
	}

	const victims = new Set<string>();
	for (const slot of new Set(chosen)) {
		let room = addRoom(slot.free, stoppingRoom(slot));
		let needed: Room = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
		for (const member of chosen) {
			if (member === slot) {
				needed = addRoom(needed, part.need);
			}
		}

		for (const victim of victimsOf(part, slot, given)) {
			if (fits(needed, room)) {
				break;
			}

			victims.add(victim.partId);
			room = addRoom(room, victim.need);
		}
	}

	return {chosen, victims: [...victims]};
};
