import type {Health, MemberState, MemberUpdate} from './types.js';

/** A member update as an array: field names would make up more than half of a heartbeat. */
export type WireUpdate = readonly [
	id: string,
	incarnation: number,
	beat: number,
	address: string,
	state: MemberState,
	generation: number,
	revision: number,
	availabilityZone: string,
	workersDown: readonly string[],
	health: Health,
	silentMs: number,
];

/** Gives an update in the form in which a heartbeat carries it. */
export const packUpdate = ({heartbeat, health, silentMs}: MemberUpdate): WireUpdate => [
	heartbeat.id,
	heartbeat.incarnation,
	heartbeat.beat,
	heartbeat.address,
	heartbeat.state,
	heartbeat.generation,
	heartbeat.revision,
	heartbeat.availabilityZone,
	heartbeat.workersDown,
	health,
	Math.round(silentMs),
];

/** Reads an update of a heartbeat. */
export const unpackUpdate = (wire: WireUpdate): MemberUpdate => {
	const [id, incarnation, beat, address, state, generation, revision, availabilityZone, workersDown] = wire;
	const heartbeat = {id, incarnation, beat, address, state, generation, revision, availabilityZone, workersDown};
	return {heartbeat, health: wire[9], silentMs: wire[10]};
};
