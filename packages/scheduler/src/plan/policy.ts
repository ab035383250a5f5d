import {CHEAP_EVICTION_RATIO, MAX_IDLE_DATA_WAIT_MS} from './constants.js';
import type {WorkerSlot} from './place-part.js';
import {reserve, type ReserveOptions} from './reservation.js';
import type {PlanPart} from './types.js';

/** What decides how long a part waits for its rack. */
export type RackWait = Readonly<{
	/** Factor on the run time of a unit in another rack than its data, or of a gang across racks. */
	remoteFactor: number;
	/** Less than half of the resources of the service's workers is in use. */
	isPoolIdle: boolean;
}>;

/** Decisions of a planning pass that can be replaced for experiments. */
export type PlanPolicy = Readonly<{
	/** Reserves workers, as many as the budget allows, for a part that can't be placed; returns their slots. */
	reserve: (part: PlanPart, slots: readonly WorkerSlot[], options: ReserveOptions) => readonly WorkerSlot[];
	/** Whether a part that no guarantee covers may evict other work. */
	mayEvictUncovered: (part: PlanPart) => boolean;
	/** Whether an eviction loses so little that it need not wait for running work that ends in time. */
	isCheapEviction: (part: PlanPart, lostWorkCoreMs: number) => boolean;
	/** Whether the part may run in another rack than its data, or spread over racks. */
	mayLeaveRack: (part: PlanPart, wait: RackWait) => boolean;
}>;

/** A run away from its rack is slower, so waiting for a better placement pays off for up to the extra run time. */
const hasOutwaitedSlowerRun = ({waitedMs, estimateMs}: PlanPart, {remoteFactor}: RackWait): boolean =>
	waitedMs > (remoteFactor - 1) * estimateMs;

export const DEFAULT_PLAN_POLICY: PlanPolicy = {
	reserve,
	mayEvictUncovered: ({priority, slackMs}) => priority === 0 && slackMs > 0,
	isCheapEviction: ({workCoreMs}, lostWorkCoreMs) => lostWorkCoreMs <= workCoreMs * CHEAP_EVICTION_RATIO,
	// In an idle pool the part waits only briefly, because there its wait may mean that no suitable rack can hold it.
	mayLeaveRack: (part, wait) =>
		hasOutwaitedSlowerRun(part, wait) || (wait.isPoolIdle && part.waitedMs > MAX_IDLE_DATA_WAIT_MS),
};

/** Decisions with one mechanism switched off, by the mechanism's name. */
export const PLAN_POLICY_CHANGES = {
	reservation: {reserve: () => []},
	'uncovered-evictions': {mayEvictUncovered: () => false},
	'cheap-evictions': {isCheapEviction: () => false},
	'rack-waits': {mayLeaveRack: () => true},
	'idle-pool-waits': {mayLeaveRack: hasOutwaitedSlowerRun},
} as const satisfies Readonly<Record<string, Partial<PlanPolicy>>>;
