import type {ActiveJob, Part} from './active-job.js';
import type {LeaderState} from './leader-state.js';

/** Whether all units of the part are serving; a long-running unit reports 100 percent when it has started up. */
const isServing = (part: Part): boolean =>
	part.placements.length >= part.indexes.length &&
	part.placements.every(({phase, percent}) => phase === 'running' && percent >= 100);

/** Whether the latest reports still hold. They may not if a worker of the part is silent, or goes down by an order whose effect no report shows yet. */
const isCertain = (part: Part, {links, orderedWorkers}: LeaderState): boolean =>
	part.placements.every(({workerId}) => links.get(workerId)?.state() !== 'silent' && !orderedWorkers.has(workerId));

/** Places of the workers in the order in which they are drained for maintenance. */
type DrainOrder = ReadonlyMap<string, number>;

const drainOrderOf = ({maintenanceDrains}: LeaderState): DrainOrder =>
	new Map([...maintenanceDrains.deadlineByWorker.keys()].map((workerId, place) => [workerId, place]));

/** The parts on workers that are drained come first, worker by worker: otherwise the budget could go to parts that nobody wants to stop, or to some parts of each worker, and no machine would ever go down. */
const sortByDrain = (parts: readonly Part[], drainOrder: DrainOrder): readonly Part[] => {
	const placeOf = ({placements}: Part): number =>
		Math.min(...placements.map(({workerId}) => drainOrder.get(workerId) ?? drainOrder.size));
	return parts.toSorted((a, b) => placeOf(a) - placeOf(b));
};

/** Parts of one step that may not be stopped: the serving parts that exceed its disruption budget. A part that may be absent uses up the budget like an absent one, and is protected like a serving one. */
const protectedPartsOfStep = (
	parts: readonly Part[],
	maxAbsent: number,
	state: LeaderState,
	drainOrder: DrainOrder,
): readonly Part[] => {
	const serving = sortByDrain(
		parts.filter((part) => isServing(part)),
		drainOrder,
	);
	const countUnits = (subset: readonly Part[]): number => subset.reduce((sum, {indexes}) => sum + indexes.length, 0);
	let budget = maxAbsent - (countUnits(parts) - countUnits(serving.filter((part) => isCertain(part, state))));
	return serving.filter((part) => {
		// A stop of a part that counts as absent takes nothing more from the budget.
		const cost = isCertain(part, state) ? part.indexes.length : 0;
		const isStoppable = cost <= budget;
		budget -= isStoppable ? cost : 0;
		return !isStoppable;
	});
};

const protectedPartsOfJob = (activeJob: ActiveJob, state: LeaderState, drainOrder: DrainOrder): readonly Part[] =>
	activeJob.job.steps.flatMap(({longRunning, maxAbsent}, step) => {
		if (!longRunning || maxAbsent === undefined) {
			return [];
		}

		const parts = [...activeJob.parts.values()].filter((part) => part.step === step);
		const occurrences = [...new Set(parts.map(({occurrence}) => occurrence))];
		return occurrences.flatMap((occurrence) =>
			protectedPartsOfStep(
				parts.filter((part) => part.occurrence === occurrence),
				maxAbsent,
				state,
				drainOrder,
			),
		);
	});

/**
Parts that may not be stopped for other work or for the maintenance of their worker. A long-running step may limit how many of its units are absent at the same time. Units that are absent for any reason use up this disruption budget, so stops are spread out. What is left of it goes to the parts on drained workers first, in the order of `maintenanceDrains`.

@example
```ts
if (!protectedParts(state).has(part)) {
	placements.stop(activeJob, part, 'upkeep');
}
```
*/
export const protectedParts = (state: LeaderState): ReadonlySet<Part> => {
	const drainOrder = drainOrderOf(state);
	return new Set(
		[...state.activeJobs.values()]
			.filter(({isCancelled, outcome}) => !isCancelled && outcome === undefined)
			.flatMap((activeJob) => protectedPartsOfJob(activeJob, state, drainOrder)),
	);
};

/**
Whether a worker runs a unit that may not be stopped, or may run one because it has not listed all its ends to this leader yet and leases of earlier leaders may still be valid.

@example
```ts
if (!mayRunProtectedParts(state, 'i-1', now())) {
	await port.maintain(order);
}
```
*/
export const mayRunProtectedParts = (state: LeaderState, workerId: string, nowMs: number): boolean => {
	const link = state.links.get(workerId);
	if (link && !link.hasListedAll() && nowMs < link.expiryMs()) {
		return true;
	}

	const protectedNow = protectedParts(state);
	return (state.placementIndex.byWorker.get(workerId) ?? []).some(({part}) => protectedNow.has(part));
};
