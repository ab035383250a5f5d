import type {Resources} from '../types.js';
import {canHold, membersIn, membersOn} from './place-part.js';
import {addResources, fits, maxResources, NO_RESOURCES} from './resources.js';
import type {PlanPart, PlanWorker} from './types.js';

/** Says whether the workers could hold a part if they were empty. */
export type FleetCapacity = Readonly<{
	/** Whether a part is certainly too large, by the sums and maxima of the workers that it may run on; takes the same time for any number of workers. */
	isExceededBy: (part: PlanPart) => boolean;
	/** Whether the workers hold all members of the part. */
	canHold: (part: PlanPart) => boolean;
}>;

/** Capacity of the workers of a service, or of those with a label. */
type GroupCapacity = Readonly<{total: Resources; largest: Resources}>;

/** By service, and by label; `undefined` has all workers of the service. */
type Groups = ReadonlyMap<string, ReadonlyMap<string | undefined, GroupCapacity>>;

const NO_CAPACITY: GroupCapacity = {total: NO_RESOURCES, largest: NO_RESOURCES};

const groupWorkers = (workers: readonly PlanWorker[]): Groups => {
	const groups = new Map<string, Map<string | undefined, GroupCapacity>>();
	for (const {service, labels, capacity} of workers) {
		const byLabel = groups.get(service) ?? new Map<string | undefined, GroupCapacity>();
		groups.set(service, byLabel);
		for (const label of [undefined, ...new Set(labels)]) {
			const {total, largest} = byLabel.get(label) ?? NO_CAPACITY;
			byLabel.set(label, {total: addResources(total, capacity), largest: maxResources(largest, capacity)});
		}
	}

	return groups;
};

/**
Creates the capacity of a fleet. Workers that accept no work at the moment count, those that leave don't.

@example
```ts
const fleet = createFleetCapacity(view.workers);
if (!fleet.canHold(part)) unplaceable.push(part.id);
```
*/
export const createFleetCapacity = (workers: readonly PlanWorker[]): FleetCapacity => {
	const staying = workers.filter(({isDraining}) => !isDraining);
	let groups: Groups | undefined;

	return {
		isExceededBy(part) {
			groups ??= groupWorkers(staying);
			const group = groups.get(part.service)?.get(part.requiredLabel);
			return !group || !fits(part.need, group.largest) || membersIn(part, group.total) < part.members;
		},
		canHold(part) {
			let held = 0;
			return staying.some((worker) => {
				held += canHold(part, worker) ? membersOn(part, worker) : 0;
				return held >= part.members;
			});
		},
	};
};
