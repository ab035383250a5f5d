import {INTERFERENCE_COST, MAX_COUNTED_EFFECT} from '../interference/constants.js';
import type {WorkerSlot} from './place-part.js';
import type {PlanPart, PlanView} from './types.js';

/**
Pattern: kinds of work that slow each other down on one worker, in a fleet that has room to keep them apart. The cost only decides between workers with room, so work never waits for a worker without harmful neighbours.
*/

/** Kinds of the units on the slot, including those placed in this pass. */
const kindsOn = ({worker, kinds}: WorkerSlot): ReadonlySet<string> => new Set([...worker.kinds, ...kinds]);

/** Slow-down that the part and the work on the slot cause each other, in logarithms; 0 for no harm. */
export const mutualSlowdown = (
	{kind}: PlanPart,
	slot: WorkerSlot,
	slowdownOf: NonNullable<PlanView['slowdownOf']>,
): number => {
	let sum = 0;
	for (const other of kindsOn(slot)) {
		sum += slowdownOf(kind, other) + slowdownOf(other, kind);
	}

	return sum;
};

/** Cost of the slow-down on the slot for a placement; 0 while no kind of work is known to be slowed down. */
export const interferenceCostOf = (part: PlanPart, slot: WorkerSlot, slowdownOf: PlanView['slowdownOf']): number =>
	slowdownOf ? INTERFERENCE_COST * Math.min(MAX_COUNTED_EFFECT, mutualSlowdown(part, slot, slowdownOf)) : 0;
