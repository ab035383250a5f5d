import {createHeldSlots} from '../reservation/held-slots.js';
import {
	EVICTION_LOSS_RATIO,
	EVICTION_TIME_MS,
	IDLE_POOL_SHARE,
	MAX_EVICTION_SEARCHES,
	MAX_EVICTIONS,
	MAX_PLANNED_PARTS,
	MAX_RESERVATION_SEARCHES,
	MAX_RESERVING_PARTS,
	RESERVED_SHARE,
} from './constants.js';
import {findEviction, type Eviction} from './evict.js';
import {createFleetCapacity} from './fleet-capacity.js';
import {findPlacement, isEligible, allocate, mayUseReserved, type PlaceOptions, type WorkerSlot} from './place-part.js';
import {freeAtMs} from './reservation.js';
import {shareOf, subtractResources, sumResources} from './resources.js';
import {hasSpeedWait, isTooSlow, withoutSpeedWait} from './speed-choice.js';
import {createTrialBudget, needsEmptyWorker, reserveForTrial} from './trials.js';
import type {Plan, PlanPart, PlanStart, PlanView, PlanWorker} from './types.js';

/** Earliest time at which all members could start without evictions, by the expected ends of running work. */
const earliestStartMs = (part: PlanPart, slots: readonly WorkerSlot[], nowMs: number): number => {
	const times = slots
		.filter(({worker, reservation}) => reservation === 'none' && isEligible(part, worker) && !isTooSlow(part, worker))
		.filter(({worker}) => part.dataRack === undefined || worker.rack === part.dataRack)
		.map(({worker}) => freeAtMs(part, worker, nowMs))
		.toSorted((a, b) => a - b);
	return times[part.members - 1] ?? Number.POSITIVE_INFINITY;
};

const isIdle = (workers: readonly PlanWorker[], service: string): boolean => {
	const usable = workers.filter((worker) => worker.isUsable && worker.service === service);
	const capacity = sumResources(usable.map((worker) => worker.capacity));
	const free = sumResources(usable.map((worker) => worker.free));
	return shareOf(subtractResources(capacity, free), capacity) < IDLE_POOL_SHARE;
};

/** Key of parts with equal requirements; when one of them can't be placed, the others need not be tried. */
const shapeOf = (part: PlanPart, options: PlaceOptions): string => {
	const {stepId, members, avoidedWorkers, crashSuspicion, isLastAttempt} = part;
	const avoided = [...avoidedWorkers].toSorted().join(',');
	const waits = [mayUseReserved(part, options), hasSpeedWait(part)];
	return [stepId, members, crashSuspicion, isLastAttempt, ...waits, avoided].join('/');
};

/**
Decides which parts start on which workers. Parts are planned by rank. A part that can't be placed evicts other work if it is urgent or guaranteed, or else reserves workers.

@example
```ts
const {starts, evictions} = plan({workers, parts, unitsOnWorker, nowMs, remoteFactor: 3, policy: DEFAULT_PLAN_POLICY});
```
*/
export const plan = (view: PlanView): Plan => {
	const {workers, nowMs, policy} = view;
	const slots: WorkerSlot[] = workers
		.filter(({isUsable}) => isUsable)
		.map((worker) => ({worker, free: worker.free, reservation: 'none', units: new Map(), kinds: new Set()}));
	const idleByService = new Map<string, boolean>();
	const options: PlaceOptions = {
		unitsOnWorker: view.unitsOnWorker,
		remoteFactor: view.remoteFactor,
		workers,
		isPoolIdle(service) {
			const isKnownIdle = idleByService.get(service) ?? isIdle(workers, service);
			idleByService.set(service, isKnownIdle);
			return isKnownIdle;
		},
		mayLeaveRack: policy.mayLeaveRack,
		slowdownOf: view.slowdownOf,
	};
	const held = createHeldSlots(view, slots, options);
	const starts: PlanStart[] = [];
	const evictions = new Map<string, string>();
	const failedShapes = new Set<string>();
	const unplaceableShapes = new Set<string>();
	const unplaceable: string[] = [];
	let triedParts = 0;
	const fleet = createFleetCapacity(workers);
	const trials = createTrialBudget(workers, view.trials);
	const reservations: Array<Plan['reservations'][number]> = [];
	let reservationBudget = Math.max(1, Math.floor(slots.length * RESERVED_SHARE));
	let reservationSearches = 0;
	let evictionSearches = 0;

	const mayEvict = (part: PlanPart): boolean =>
		evictions.size < MAX_EVICTIONS &&
		evictionSearches < MAX_EVICTION_SEARCHES &&
		(part.isGuaranteed || policy.mayEvictUncovered(part));

	/** Evictions that lose little work may happen at once; others only when no running work is expected to end in time. Those of earlier passes count. */
	const isWorthwhile = (part: PlanPart, newlyLostCoreMs: number): boolean => {
		const lostWorkCoreMs = held.lostWorkCoreMs(part.id) + newlyLostCoreMs;
		if (policy.isCheapEviction(part, lostWorkCoreMs)) {
			return true;
		}

		const latestStartMs = nowMs + part.slackMs - EVICTION_TIME_MS;
		const isAffordable = part.isGuaranteed || lostWorkCoreMs <= part.workCoreMs * EVICTION_LOSS_RATIO;
		return isAffordable && earliestStartMs(part, slots, nowMs) > latestStartMs;
	};

	/** Reserves the resources that are being freed, and those that the victims will free, for the part; over passes if work was stopped for it, or if a guarantee covers it, which may have taken them from another part. */
	const evict = (
		part: PlanPart,
		{chosen, victims, lostWorkCoreMs}: Eviction,
		isHolding = part.isGuaranteed || victims.length > 0,
	) => {
		for (const victim of victims) {
			evictions.set(victim, part.id);
		}

		for (const slot of chosen) {
			slot.reservation = 'in-use';
		}

		allocate(part, chosen, options);
		if (isHolding) {
			held.hold(part, chosen, {evictions: victims.length, lostWorkCoreMs});
		}
	};

	/** Whether the part has room already and only waits for faster workers, which is no reason to stop other work. */
	const waitsForSpeed = (part: PlanPart): boolean =>
		slots.some(({worker}) => isTooSlow(part, worker)) &&
		findPlacement(withoutSpeedWait(part), slots, options) !== undefined;

	const tryEvict = (part: PlanPart): boolean => {
		if (!mayEvict(part) || waitsForSpeed(part)) {
			return false;
		}

		evictionSearches += 1;
		const eviction = findEviction(part, slots, options, new Set(evictions.keys()));
		if (!eviction || !isWorthwhile(part, eviction.lostWorkCoreMs)) {
			return false;
		}

		evict(part, eviction);
		return true;
	};

	const keptApart: Array<Plan['keptApart'][number]> = [];

	/** Notes the worker that a single unit would run on but for the work there. */
	const noteKeptApart = (part: PlanPart, chosen: readonly WorkerSlot[]) => {
		if (options.slowdownOf && part.members === 1) {
			const usual = findPlacement(part, slots, {...options, slowdownOf: undefined})?.[0];
			if (usual && usual !== chosen[0]) {
				keptApart.push({partId: part.id, workerId: usual.worker.id});
			}
		}
	};

	/** Starts a part on the workers that it holds, or on others if these have room first, or goes on holding them. Returns whether it has one of these. */
	const completeHeld = (part: PlanPart, own: readonly WorkerSlot[]): boolean => {
		// The part has waited for these workers, so their racks and speeds are accepted.
		const accepting = withoutSpeedWait(part);
		const chosen =
			findPlacement(accepting, own, {...options, mayLeaveRack: () => true}) ?? findPlacement(part, slots, options);
		if (chosen) {
			start(part, chosen, false);
			held.hold(part, chosen, {evictions: 0, lostWorkCoreMs: 0});
			return true;
		}

		const eviction = findEviction(accepting, own, options, new Set(evictions.keys()));
		if (
			eviction &&
			(eviction.victims.length === 0 || (mayEvict(part) && isWorthwhile(part, eviction.lostWorkCoreMs)))
		) {
			evict(part, eviction, true);
			return true;
		}

		held.release(part, 'cannot-complete');
		return false;
	};

	const start = (part: PlanPart, chosen: readonly WorkerSlot[], isChosenFreely = true) => {
		if (isChosenFreely) {
			noteKeptApart(part, chosen);
		}

		allocate(part, chosen, options);
		starts.push({partId: part.id, workerIds: chosen.map(({worker}) => worker.id)});
		if (needsEmptyWorker(part)) {
			trials.spend(part.customer);
		}

		if (part.crashSuspicion !== 'none') {
			for (const slot of chosen) {
				slot.reservation = 'in-use';
			}
		}
	};

	const tryStart = (part: PlanPart): boolean => {
		const chosen = findPlacement(part, slots, options);
		if (chosen) {
			start(part, chosen);
		}

		return chosen !== undefined;
	};

	/** Makes room for a part that can't be placed, or reserves workers for it. Returns whether others of its shape may be placed in the same way. */
	const prepareStart = (part: PlanPart): boolean => {
		if (needsEmptyWorker(part)) {
			trials.spend(part.customer);
			reserveForTrial(slots.filter(({worker}) => isEligible(part, worker)));
			return false;
		}

		if (tryEvict(part)) {
			return true;
		}

		if (
			reservations.length < MAX_RESERVING_PARTS &&
			reservationSearches < MAX_RESERVATION_SEARCHES &&
			reservationBudget > 0
		) {
			reservationSearches += 1;
			const reserved = policy.reserve(part, slots, {budget: reservationBudget, nowMs, place: options});
			reservationBudget -= reserved.length;
			if (reserved.length > 0) {
				reservations.push({partId: part.id, workerIds: reserved.map(({worker}) => worker.id)});
			}
		}

		return false;
	};

	/** The same; a part that a guarantee covers takes workers that others hold, if it can't evict other work instead. */
	const makeRoom = (part: PlanPart): boolean => {
		if (!part.isGuaranteed || !held.hasUncovered() || needsEmptyWorker(part)) {
			return prepareStart(part);
		}

		return tryEvict(part) || held.tryWithoutUncovered(() => tryStart(part) || prepareStart(part));
	};

	for (const part of view.parts.toSorted((a, b) => a.rank - b.rank)) {
		if (triedParts >= MAX_PLANNED_PARTS) {
			break;
		}

		const own = held.open(part);
		if (own && completeHeld(part, own)) {
			continue;
		}

		const shape = shapeOf(part, options);
		if (unplaceableShapes.has(shape)) {
			unplaceable.push(part.id);
			continue;
		}

		if (failedShapes.has(shape) || (needsEmptyWorker(part) && !trials.isLeft(part.customer))) {
			continue;
		}

		const isTooLarge = fleet.isExceededBy(part);
		const chosen = isTooLarge ? undefined : findPlacement(part, slots, options);
		if (isTooLarge || (!chosen && !fleet.canHold(part))) {
			unplaceableShapes.add(shape);
			unplaceable.push(part.id);
			continue;
		}

		triedParts += 1;
		if (chosen) {
			start(part, chosen);
			continue;
		}

		if (!makeRoom(part)) {
			failedShapes.add(shape);
		}
	}

	return {
		starts,
		evictions: [...evictions].map(([partId, forPartId]) => ({partId, forPartId})),
		reservations,
		...held.result(),
		unplaceable,
		keptApart,
	};
};
