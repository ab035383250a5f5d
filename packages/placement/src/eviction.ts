import {CHECKPOINT_GRACE_FACTOR, MAX_GRACE_MS, URGENT_GRACE_MS} from './constants.js';
import type {Demand} from './demand.js';
import type {Held, PassState, RackState} from './pass-state.js';
import {forEachRun, homeUse, isRunAdmitted, type Run} from './windows.js';

export type Eviction = Readonly<{run: Run; victims: readonly Held[]; lostAcceleratorSeconds: number}>;

/** Whether a placement may be evicted for the demand. */
export type VictimRule = (held: Held, rack: RackState) => boolean;

const checkpointMsOf = (state: PassState, held: Held): number =>
	(state.fleet.classes.get(held.placement.jobClass)?.checkpointSeconds ?? 0) * 1000;

/**
Time that an eviction leaves for the checkpoint. Urgent work can't wait for a long checkpoint, so it stops the task at once unless the checkpoint fits.
*/
export const graceMs = (state: PassState, held: Held, isUrgent: boolean): number => {
	const checkpointMs = checkpointMsOf(state, held);
	if (isUrgent) {
		return checkpointMs > 0 && checkpointMs <= URGENT_GRACE_MS ? URGENT_GRACE_MS : 0;
	}

	return Math.min(checkpointMs * CHECKPOINT_GRACE_FACTOR, Math.max(MAX_GRACE_MS, checkpointMs));
};

/** Accelerator-seconds lost by an eviction: the checkpoint and its restore, or all work since the start. */
export const lostAcceleratorSeconds = (state: PassState, held: Held, isUrgent: boolean): number => {
	if (held.placement.phase === 'evicting') {
		return 0;
	}

	const checkpointMs = checkpointMsOf(state, held);
	const ranMs = Math.max(0, state.view.nowMs - held.placement.placedAtMs);
	const isSaved = checkpointMs > 0 && checkpointMs <= graceMs(state, held, isUrgent);
	return (held.accelerators * (isSaved ? 2 * checkpointMs : ranMs)) / 1000;
};

/** Whether the eviction keeps the class's retry rule: at-most-once work needs time for its checkpoint. */
export const isSafeToEvict = (state: PassState, held: Held, isUrgent: boolean): boolean => {
	if (held.placement.phase === 'evicting') {
		return true;
	}

	const jobClass = state.fleet.classes.get(held.placement.jobClass);
	if (!held.placement.preemptible) {
		return false;
	}

	return (
		jobClass?.retryRule !== 'at-most-once' ||
		(jobClass.checkpointSeconds > 0 && graceMs(state, held, isUrgent) >= checkpointMsOf(state, held))
	);
};

/** Indices of the placements on a run. */
export const occupantsOf = ({rack, start}: Run, accelerators: number): ReadonlySet<number> =>
	new Set(rack.occupant.slice(start, start + accelerators).filter((index) => index !== -1));

export type EvictionSearch = Readonly<{
	/** Cost of ending a placement; infinite for one that must not give way. */
	cost: (held: Held, rack: RackState) => number;
	isRunConsidered?: (run: Run) => boolean;
}>;

/** The cost of an eviction for work that `isVictim` allows and whose class permits it. */
export const evictionCost =
	(state: PassState, isVictim: VictimRule, isUrgent: boolean): EvictionSearch['cost'] =>
	(held, rack) =>
		isSafeToEvict(state, held, isUrgent) &&
		(held.placement.phase === 'evicting' || (!held.isNew && isVictim(held, rack)))
			? lostAcceleratorSeconds(state, held, isUrgent)
			: Number.POSITIVE_INFINITY;

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
	{cost: costOfHeld, isRunConsidered = () => true}: EvictionSearch,
): Eviction | undefined => {
	const {accelerators} = demand.job;
	// A placement is looked at for every run that it overlaps; its cost is the same for all of them.
	const costs = new Map<number, number>();
	const costOf = (index: number, rack: RackState): number => {
		let cost = costs.get(index);
		if (cost === undefined) {
			cost = costOfHeld(state.held[index]!, rack);
			costs.set(index, cost);
		}

		return cost;
	};

	let best: {run: Run; cost: number} | undefined;
	forEachRun(
		state,
		demand,
		() => true,
		(run) => {
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
					cost += costOf(occupant, rack);
					last = occupant;
				}

				if (cost >= (best?.cost ?? Number.POSITIVE_INFINITY)) {
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
		},
	);
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
