import type {Step} from '@bergamotgauge/jobs';
import {fits} from '../plan/resources.js';
import type {Resources, Worker} from '../types.js';
import {FLEET_SETTLED_MS, MAX_FLEET_SIZES} from './constants.js';
import type {AdmissionCheck, Backlog} from './types.js';

/** The largest workers that a leader has seen in its term. */
export type FleetSizes = Readonly<{
	observe: (workers: Iterable<Worker>, nowMs: number) => void;
	/** Sizes by service, for services whose workers have been seen for long enough. */
	largest: (nowMs: number) => Backlog['largestWorkers'];
}>;

/** The sizes with another one, without those that fit into another. */
const withSize = (sizes: readonly Resources[], size: Resources): readonly Resources[] =>
	sizes.some((known) => fits(size, known)) ? sizes : [...sizes.filter((known) => !fits(known, size)), size];

/**
Creates the sizes of a term that has seen no worker. Sizes are never forgotten, so workers that are away for a while (an outage, a drain, an evacuation) still count.

@example
```ts
const sizes = createFleetSizes();
sizes.observe(state.directory.values(), now());
```
*/
export const createFleetSizes = (): FleetSizes => {
	const services = new Map<string, {sinceMs: number; sizes: readonly Resources[]}>();
	return {
		observe(workers, nowMs) {
			for (const {service, capacity} of workers) {
				const known = services.get(service) ?? {sinceMs: nowMs, sizes: []};
				const sizes = withSize(known.sizes, capacity);
				// A larger worker has joined, so others may follow.
				services.set(service, sizes === known.sizes ? known : {sinceMs: nowMs, sizes});
			}
		},
		largest: (nowMs) =>
			Object.fromEntries(
				[...services]
					.filter(([, {sinceMs, sizes}]) => nowMs - sinceMs >= FLEET_SETTLED_MS && sizes.length <= MAX_FLEET_SIZES)
					.map(([service, {sizes}]) => [service, sizes]),
			),
	};
};

/** Best-effort units use spare cores, so they reserve none. */
const reservedBy = ({cpuMillis, memoryMb, accelerators, usesLeftover}: Step): Resources => ({
	cpuMillis: usesLeftover ? 0 : cpuMillis,
	memoryMb,
	accelerators,
});

/** Answers jobs that wait for ever: a unit that is larger than every worker of its service. Labels do not count, since workers with a label may join at any time. */
export const checkFleet: AdmissionCheck = ({job, backlog}) => {
	const sizes = backlog?.largestWorkers[job.service];
	const step = sizes && job.steps.findIndex((need) => !sizes.some((size) => fits(reservedBy(need), size)));
	if (step === undefined || step === -1) {
		return undefined;
	}

	const {cpuMillis, memoryMb, accelerators} = reservedBy(job.steps[step]!);
	return {
		reason: 'fleet',
		message: `step ${step} cannot run: no worker of ${job.service} has ${cpuMillis} millicores, ${memoryMb} MB and ${accelerators} accelerators`,
		code: 'impossible',
		retryAfterMs: undefined,
	};
};
