import {allocate, isEligible, type PlaceOptions, type WorkerSlot} from '../plan/place-part.js';
import {addResources} from '../plan/resources.js';
import type {PlanPart, PlanView} from '../plan/types.js';
import type {HeldByPart, HeldWorkers, Release, ReleaseReason} from './types.js';

/** The slots that pending parts hold in one pass. */
export type HeldSlots = Readonly<{
	/** Whether parts without a guarantee that have not been planned yet hold slots. */
	hasUncovered: () => boolean;
	/** Tries to make room for a part that a guarantee covers, which may take the slots of parts without one. */
	tryWithoutUncovered: (attempt: () => boolean) => boolean;
	/** Opens the slots of a part to it; `undefined` if it holds none. */
	open: (part: PlanPart) => readonly WorkerSlot[] | undefined;
	/** Records what the part holds from now on, of which `evictions` and `lostWorkCoreMs` are new. */
	hold: (part: PlanPart, chosen: readonly WorkerSlot[], added: Omit<HeldWorkers, 'workerIds'>) => void;
	release: (part: PlanPart, reason: ReleaseReason) => void;
	/** Work that evictions for the part have lost in earlier passes. */
	lostWorkCoreMs: (partId: string) => number;
	/** What is held for the next pass, and what was given up in this one. */
	result: () => Readonly<{held: HeldByPart; released: readonly Release[]}>;
}>;

const NOTHING: HeldWorkers = {workerIds: [], evictions: 0, lostWorkCoreMs: 0};

/** Why the part can't wait for the worker any more; `undefined` if it can. */
const findReason = (part: PlanPart, workerId: string, workers: PlaceOptions['workers']): ReleaseReason | undefined => {
	const worker = workers.find(({id}) => id === workerId);
	if (!worker) {
		return 'worker-gone';
	}

	if (worker.isDraining) {
		return 'worker-drains';
	}

	if (worker.isEvacuated) {
		return 'zone-evacuated';
	}

	if (!isEligible(part, worker)) {
		return 'worker-unusable';
	}

	return worker.isSuspect ? 'worker-suspected' : undefined;
};

/**
Creates the held slots of a pass. The members of each part that holds slots count as placed there until the part is planned, so that no other part takes what is being freed for it.

@example
```ts
const held = createHeldSlots(view, slots, options);
const own = held.open(part);
```
*/
export const createHeldSlots = (
	{parts, held: earlier}: PlanView,
	slots: readonly WorkerSlot[],
	options: PlaceOptions,
): HeldSlots => {
	const held = new Map<string, HeldWorkers>();
	const released: Release[] = [];
	const slotById = new Map(slots.map((slot) => [slot.worker.id, slot]));
	/** Slots that count as taken by the members of a part that has not been planned yet. */
	const kept = new Map<string, readonly WorkerSlot[]>();

	const release = ({id}: PlanPart, reason: ReleaseReason) => {
		held.set(id, {...(held.get(id) ?? NOTHING), workerIds: []});
		released.push({partId: id, reason});
	};

	const keep = (part: PlanPart) => {
		const own = (held.get(part.id)?.workerIds ?? []).map((id) => slotById.get(id)!);
		if (own.length === 0) {
			return;
		}

		allocate(part, own, options);
		kept.set(part.id, own);
		for (const slot of own) {
			slot.reservation = 'in-use';
		}
	};

	/** Gives the resources of the part's slots back. */
	const giveBack = (part: PlanPart): readonly WorkerSlot[] => {
		const own = kept.get(part.id) ?? [];
		kept.delete(part.id);
		const others = new Set([...kept.values()].flat());
		for (const slot of own) {
			slot.free = addResources(slot.free, part.need);
			slot.units.set(part.stepId, (slot.units.get(part.stepId) ?? 1) - 1);
			slot.reservation = others.has(slot) ? 'in-use' : 'none';
		}

		return [...new Set(own)];
	};

	const holders = earlier.size === 0 ? [] : parts.filter(({id}) => earlier.has(id));
	for (const part of holders) {
		const before = earlier.get(part.id)!;
		held.set(part.id, before);
		const reason = before.workerIds.map((id) => findReason(part, id, options.workers)).find(Boolean);
		if (reason) {
			release(part, reason);
		} else {
			keep(part);
		}
	}

	const uncoveredHolders = () => holders.filter(({id, isGuaranteed}) => !isGuaranteed && kept.has(id));

	return {
		hasUncovered: () => uncoveredHolders().length > 0,
		tryWithoutUncovered(attempt) {
			const uncovered = uncoveredHolders();
			for (const part of uncovered) {
				giveBack(part);
			}

			const isSuccessful = attempt();
			for (const part of uncovered) {
				keep(part);
			}

			return isSuccessful;
		},
		open: (part) => (kept.has(part.id) ? giveBack(part) : undefined),
		hold(part, chosen, {evictions, lostWorkCoreMs}) {
			const before = held.get(part.id) ?? NOTHING;
			held.set(part.id, {
				workerIds: chosen.map(({worker}) => worker.id),
				evictions: before.evictions + evictions,
				lostWorkCoreMs: before.lostWorkCoreMs + lostWorkCoreMs,
			});
		},
		release,
		lostWorkCoreMs: (partId) => held.get(partId)?.lostWorkCoreMs ?? 0,
		result: () => ({held, released}),
	};
};
