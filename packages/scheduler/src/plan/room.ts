import type {Room} from '../types.js';

export const NO_ROOM: Room = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

export const addRoom = (a: Room, b: Room): Room => ({
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

/** Largest share of a worker that the room takes in one of its dimensions. */
export const shareOf = (room: Room, capacity: Room): number =>
	Math.max(
		capacity.cpuMillis > 0 ? room.cpuMillis / capacity.cpuMillis : 0,
		capacity.memoryMb > 0 ? room.memoryMb / capacity.memoryMb : 0,
		capacity.accelerators > 0 ? room.accelerators / capacity.accelerators : 0,
	);

/** Room of all units together. */
export const sumRoom = (rooms: readonly Room[]): Room => {
	let sum = NO_ROOM;
	for (const room of rooms) {
		sum = addRoom(sum, room);
	}

	return sum;
};
