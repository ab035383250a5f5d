import {CHECKPOINT_GRACE_FACTOR, MAX_GRACE_MS, URGENT_GRACE_MS} from './constants.js';
import type {Demand} from './demand.js';
import {UNKNOWN_COST, type Held, type PassState, type RackState} from './pass-state.js';
import {forEachOwnHomeRun, forEachRun, homeUse, isRunAdmitted, type Run} from './windows.js';

export type Eviction = Readonly<{run: Run; victims: readonly Held[]; lostAcceleratorSeconds: number}>;

/** Whether a placement may be evicted for the demand. */
export type VictimRule = (held: Held, rack: RackState) => boolean;

const checkpointMsOf = ({jobClass}: Held): number => (jobClass?.checkpointSeconds ?? 0) * 1000;

/**
Time that an eviction leaves for the checkpoint. Urgent work can't wait for a long checkpoint, so it stops the task at once unless the checkpoint fits.
*/
export const graceMs = (held: Held, isUrgent: boolean): number => {
	const checkpointMs = checkpointMsOf(held);
	if (isUrgent) {
		return checkpointMs > 0 && checkpointMs <= URGENT_GRACE_MS ? URGENT_GRACE_MS : 0;
	}

	return Math.min(checkpointMs * CHECKPOINT_GRACE_FACTOR, Math.max(MAX_GRACE_MS, checkpointMs));
};

/** Accelerator-seconds lost by an eviction: the checkpoint and its restore, or all work since the start. */
export const lostAcceleratorSeconds = (state: PassState, held: Held, isUrgent: boolean): number => {
	if (held.isEvicting) {
		// The writer of an eviction sets the expected end to the end of its grace. Urgent work can't wait for a long one.
		const leftMs = held.placement.expectedEndMs - state.view.nowMs;
		return isUrgent && leftMs > URGENT_GRACE_MS && leftMs <= MAX_GRACE_MS ? Infinity : 0;
	}

	const checkpointMs = checkpointMsOf(held);
	const ranMs = Math.max(0, state.view.nowMs - held.placement.placedAtMs);
	const isSaved = checkpointMs > 0 && checkpointMs <= graceMs(held, isUrgent);
	return (held.accelerators * (isSaved ? 2 * checkpointMs : ranMs)) / 1000;
};

/** Whether the eviction keeps the class's retry rule: at-most-once work needs time for its checkpoint. */
export const isSafeToEvict = (held: Held, isUrgent: boolean): boolean => {
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
	/** Cost of ending a placement; infinite for one that must not give way. */
	cost: (index: number, rack: RackState) => number;
	isRunConsidered?: (run: Run) => boolean;
	/** Searches only the homes of the demand's customer. */
	isInOwnHome?: boolean;
}>;

/** The cost of an eviction for work that `isVictim` allows and whose class permits it. */
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
Finds the run whose occupants cost the least to evict. Work that is being evicted already costs nothing, so the next pass finds the same run again.

@example
```ts
cheapestEviction(state, demand, {cost: evictionCost(state, () => true, false)});
```
*/
export const cheapestEviction = (
	state: PassState,
	demand: Demand,
	{cost: costOf, isRunConsidered = () => true, isInOwnHome = false}: EvictionSearch,
): Eviction | undefined => {
	const {accelerators} = demand.job;
	// A placement is looked at for every run that it overlaps; its cost is the same for all of them.
	const costs = new Float64Array(state.held.length).fill(UNKNOWN_COST);
	let best: {run: Run; cost: number} | undefined;
	const visit = (run: Run): void => {
		const {rack, start} = run;
		let cost = 0;
		let last = -1;
		for (let cell = start; cell < start + accelerators; cell += 1) {
			const hold = rack.hold[cell]!;
			const isHeldForOther = hold !== -1 && state.holds[hold]!.job !== demand.job.id;
			const occupant = rack.occupant[cell]!;
			if (isHeldForOther) {
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
			homeUse(state, run, demand) &&
			isRunAdmitted(state, run, demand, occupantsOf(run, accelerators))
		) {
			best = {run, cost};
		}
	};

	if (isInOwnHome) {
		forEachOwnHomeRun(state, demand, visit);
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
