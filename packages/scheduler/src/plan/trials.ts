import {TRIAL_CUSTOMER_SHARE, TRIAL_SHARE, TRIAL_WAIT_MS} from './constants.js';
import type {PlanPart, PlanWorker} from './types.js';
import type {WorkerSlot} from './place-part.js';

/** Limits the suspects that run at a time, so that their crashes leave enough workers for all other work. */
export type TrialBudget = Readonly<{
	isLeft: (customer: string) => boolean;
	spend: (customer: string) => void;
}>;

/** Creates the budget of a pass from the suspects that run already, by customer. */
export const createTrialBudget = (
	workers: readonly PlanWorker[],
	running: ReadonlyMap<string, number>,
): TrialBudget => {
	const limit = Math.max(2, Math.floor(workers.length * TRIAL_SHARE));
	const customerLimit = Math.max(1, Math.floor(limit * TRIAL_CUSTOMER_SHARE));
	const spent = new Map(running);
	return {
		isLeft: (customer) =>
			[...spent.values()].reduce((sum, count) => sum + count, 0) < limit && (spent.get(customer) ?? 0) < customerLimit,
		spend(customer) {
			spent.set(customer, (spent.get(customer) ?? 0) + 1);
		},
	};
};

/** Whether the part waits for workers without other work. */
export const needsEmptyWorker = ({crashSuspicion, waitedMs}: PlanPart): boolean =>
	waitedMs < TRIAL_WAIT_MS[crashSuspicion];

/** Whether a crash of the worker would leave open which of two suspects is the cause. */
export const hasOtherSuspect = ({crashSuspicion}: PlanPart, {hasCrashSuspect}: PlanWorker): boolean =>
	crashSuspicion !== 'none' && hasCrashSuspect;

/** Whether nothing runs on the worker or is placed there in this pass. */
export const isEmpty = ({worker, units}: WorkerSlot): boolean => worker.placements.length === 0 && units.size === 0;

/** Keeps the worker that is expected to be empty first free of new work. */
export const reserveForTrial = (slots: readonly WorkerSlot[]): void => {
	const emptyAtMs = ({worker, units}: WorkerSlot): number =>
		units.size > 0 ? Number.POSITIVE_INFINITY : Math.max(0, ...worker.placements.map(({endMs}) => endMs));
	const next = slots
		.filter((slot) => slot.reservation === 'none' && emptyAtMs(slot) < Number.POSITIVE_INFINITY)
		.toSorted((a, b) => emptyAtMs(a) - emptyAtMs(b))
		.at(0);
	if (next) {
		next.reservation = 'waiting';
	}
};
