import type {Resources} from '../types.js';

export const NO_RESOURCES: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

export const addResources = (a: Resources, b: Resources): Resources => ({
	cpuMillis: a.cpuMillis + b.cpuMillis,
	memoryMb: a.memoryMb + b.memoryMb,
	accelerators: a.accelerators + b.accelerators,
});

export const subtractResources = (a: Resources, b: Resources): Resources => ({
	cpuMillis: a.cpuMillis - b.cpuMillis,
	memoryMb: a.memoryMb - b.memoryMb,
	accelerators: a.accelerators - b.accelerators,
});

export const fits = (need: Resources, free: Resources): boolean =>
	need.cpuMillis <= free.cpuMillis && need.memoryMb <= free.memoryMb && need.accelerators <= free.accelerators;

/** The largest amount in each dimension. */
export const maxResources = (a: Resources, b: Resources): Resources => ({
	cpuMillis: Math.max(a.cpuMillis, b.cpuMillis),
	memoryMb: Math.max(a.memoryMb, b.memoryMb),
	accelerators: Math.max(a.accelerators, b.accelerators),
});

/** Dominant share: the largest share of the capacity that the resources take in any dimension. */
export const shareOf = (resources: Resources, capacity: Resources): number =>
	Math.max(
		capacity.cpuMillis > 0 ? resources.cpuMillis / capacity.cpuMillis : 0,
		capacity.memoryMb > 0 ? resources.memoryMb / capacity.memoryMb : 0,
		capacity.accelerators > 0 ? resources.accelerators / capacity.accelerators : 0,
	);

/** Total resources of several units. */
export const sumResources = (amounts: readonly Resources[]): Resources => {
	let sum = NO_RESOURCES;
	for (const resources of amounts) {
		sum = addResources(sum, resources);
	}

	return sum;
};
