import type {Health, MemberState, MemberUpdate} from './types.js';

/** A member update encoded as an array, because field names would make up more than half of a heartbeat. */
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

/** Encodes an update for a heartbeat. */
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

/** Decodes an update from a heartbeat. */
export const unpackUpdate = (wire: WireUpdate): MemberUpdate => {
	const [id, incarnation, beat, address, state, generation, revision, availabilityZone, workersDown] = wire;
	const heartbeat = {id, incarnation, beat, address, state, generation, revision, availabilityZone, workersDown};
	return {heartbeat, health: wire[9], silentMs: wire[10]};
};
