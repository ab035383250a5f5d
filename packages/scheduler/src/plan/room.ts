import type {Room} from '../types.js';

export const NO_RESOURCES: Room = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

export const addResources = (a: Room, b: Room): Room => ({
	cpuMillis: a.cpuMillis + b.cpuMillis,
	memoryMb: a.memoryMb + b.memoryMb,
	accelerators: a.accelerators + b.accelerators,
});

export const subtractRoom = (a: Room, b: Room): Room => ({
	cpuMillis: a.cpuMillis - b.cpuMillis,
	memoryMb: a.memoryMb - b.memoryMb,
	accelerators: a.accelerators - b.accelerators,
});

export const fits = (need: Room, free: Room): boolean =>
	need.cpuMillis <= free.cpuMillis && need.memoryMb <= free.memoryMb && need.accelerators <= free.accelerators;

/** Dominant share: the largest share of the capacity that the resources take in any dimension. */
export const shareOf = (resources: Room, capacity: Room): number =>
	Math.max(
		capacity.cpuMillis > 0 ? resources.cpuMillis / capacity.cpuMillis : 0,
		capacity.memoryMb > 0 ? resources.memoryMb / capacity.memoryMb : 0,
		capacity.accelerators > 0 ? resources.accelerators / capacity.accelerators : 0,
	);

/** Total resources of several units. */
export const sumRoom = (amounts: readonly Room[]): Room => {
	let sum = NO_RESOURCES;
	for (const resources of amounts) {
		sum = addResources(sum, resources);
	}

	return sum;
};
