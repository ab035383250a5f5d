import {CHECKPOINT_GRACE_FACTOR, MAX_GRACE_MS, URGENT_GRACE_MS} from './constants.js';
import type {Demand} from './demand.js';
import {UNKNOWN_COST, type HeldPlacement, type PassState, type RackState} from './pass-state.js';
import {forEachOwnBlockRun, forEachRun, isRunAdmitted, reservedBlockUse, type Run} from './runs.js';

export type Eviction = Readonly<{run: Run; victims: readonly HeldPlacement[]; lostAcceleratorSeconds: number}>;

/** Whether a placement may be evicted for the demand. */
export type VictimRule = (held: HeldPlacement, rack: RackState) => boolean;

const checkpointMsOf = ({jobClass}: HeldPlacement): number => (jobClass?.checkpointSeconds ?? 0) * 1000;

/**
Grace period that an eviction leaves for the checkpoint. Urgent work can't wait for a long checkpoint, so the tasks are stopped at once unless the checkpoint fits into the urgent grace period.
*/
export const graceMs = (held: HeldPlacement, isUrgent: boolean): number => {
	const checkpointMs = checkpointMsOf(held);
	if (isUrgent) {
		return checkpointMs > 0 && checkpointMs <= URGENT_GRACE_MS ? URGENT_GRACE_MS : 0;
	}

	return Math.min(checkpointMs * CHECKPOINT_GRACE_FACTOR, Math.max(MAX_GRACE_MS, checkpointMs));
};

/** Accelerator-seconds lost by an eviction: the time to checkpoint and restore, or all work since the start. */
export const lostAcceleratorSeconds = (state: PassState, held: HeldPlacement, isUrgent: boolean): number => {
	if (held.isEvicting) {
		// The writer of an eviction sets the expected end to the end of its grace period. Urgent work can't wait for a long one.
		const leftMs = held.placement.expectedEndMs - state.view.nowMs;
		return isUrgent && leftMs > URGENT_GRACE_MS && leftMs <= MAX_GRACE_MS ? Infinity : 0;
	}

	const checkpointMs = checkpointMsOf(held);
	const ranMs = Math.max(0, state.view.nowMs - held.placement.placedAtMs);
	const isSaved = checkpointMs > 0 && checkpointMs <= graceMs(held, isUrgent);
	return (held.accelerators * (isSaved ? 2 * checkpointMs : ranMs)) / 1000;
};

/** Whether the eviction respects the class's retry rule: at-most-once work may be evicted only with enough time for its checkpoint. */
export const isSafeToEvict = (held: HeldPlacement, isUrgent: boolean): boolean => {
	if (held.isEvicting) {
		return true;
	}

	const {jobClass} = held;
	if (!held.placement.preemptible) {
		return false;
	}

	return (
		jobClass?.retryRule !== 'at-most-once' ||
		(jobClass.checkpointSeconds > 0 && graceMs(held, isUrgent) >= checkpointMsOf(held))
	);
};

/** Indices of the placements on a run. */
export const occupantsOf = ({rack, start}: Run, accelerators: number): ReadonlySet<number> =>
	new Set(rack.occupant.slice(start, start + accelerators).filter((index) => index !== -1));

export type EvictionSearch = Readonly<{
	/** Cost of ending a placement; infinite for one that must not be evicted. */
	cost: (index: number, rack: RackState) => number;
	isRunConsidered?: (run: Run) => boolean;
	/** Searches only the blocks reserved for the demand's customer. */
	isInOwnBlock?: boolean;
}>;

/** Returns a cost function for evictions; the cost is infinite unless `isVictim` and the job's class permit the eviction. */
export const evictionCost = (state: PassState, isVictim: VictimRule, isUrgent: boolean): EvictionSearch['cost'] => {
	const costs = isUrgent ? state.urgentEvictionCosts : state.evictionCosts;
	return (index, rack) => {
		const held = state.held[index]!;
		if (costs[index] === UNKNOWN_COST) {
			costs[index] = isSafeToEvict(held, isUrgent) ? lostAcceleratorSeconds(state, held, isUrgent) : Infinity;
		}

		const cost = costs[index]!;
		return cost === Infinity || held.isEvicting || (!held.isNew && isVictim(held, rack)) ? cost : Infinity;
	};
};

/**
Finds the run whose occupants cost the least to evict. Work that is being evicted already costs nothing, so later passes find the same run again.

@example
```ts
cheapestEviction(state, demand, {cost: evictionCost(state, () => true, false)});
```
*/
export const cheapestEviction = (
	state: PassState,
	demand: Demand,
	{cost: costOf, isRunConsidered = () => true, isInOwnBlock = false}: EvictionSearch,
): Eviction | undefined => {
	const {accelerators} = demand.job;
	// A placement is visited once for every run that it overlaps; its cost is the same for all of them, so it is cached.
	const costs = new Float64Array(state.held.length).fill(UNKNOWN_COST);
	let best: {run: Run; cost: number} | undefined;
	const visit = (run: Run): void => {
		const {rack, start} = run;
		let cost = 0;
		let last = -1;
		for (let cell = start; cell < start + accelerators; cell += 1) {
			const reservation = rack.reservation[cell]!;
			const isReservedForOther = reservation !== -1 && state.reservations[reservation]!.job !== demand.job.id;
			const occupant = rack.occupant[cell]!;
			if (isReservedForOther) {
				return;
			}

			if (occupant !== -1 && occupant !== last) {
				if (costs[occupant] === UNKNOWN_COST) {
					costs[occupant] = costOf(occupant, rack);
				}

				cost += costs[occupant]!;
				last = occupant;
			}

			if (cost >= (best?.cost ?? Infinity)) {
				return;
			}
		}

		if (
			isRunConsidered(run) &&
			reservedBlockUse(state, run, demand) &&
			isRunAdmitted(state, run, demand, occupantsOf(run, accelerators))
		) {
			best = {run, cost};
		}
	};

	if (isInOwnBlock) {
		forEachOwnBlockRun(state, demand, visit);
	} else {
		forEachRun(state, demand, () => true, visit);
	}

	if (!best) {
		return undefined;
	}

	const occupants = occupantsOf(best.run, accelerators);
	return {
		run: best.run,
		victims: [...occupants].map((index) => state.held[index]!),
		lostAcceleratorSeconds: best.cost,
	};
};
