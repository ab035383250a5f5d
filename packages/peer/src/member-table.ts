import {DEAD_MEMBER_RETENTION_MS, DEAD_AFTER_MS, SUSPECT_AFTER_MS} from './constants.js';
import type {Health, Heartbeat, MemberUpdate} from './types.js';

/** The local state of one other instance. */
export type MemberEntry = Readonly<{
	id: string;
	address: string;
	health: Health;
	heartbeat: Heartbeat | undefined;
	/** Time of the last heartbeat received directly from the member; 0 before the first one. */
	lastHeartbeatMs: number;
	/** For a suspect or dead member, the time of its last heartbeat or the start of its observation. */
	silentSinceMs: number;
}>;

const SEVERITY: Readonly<Record<Health, number>> = {unknown: 0, alive: 1, suspect: 2, dead: 3};

/** Compares two heartbeats of one id: positive when `a` is newer, that is, of a later incarnation or of a later beat in the same one. */
const compareRecency = (a: Heartbeat, b: Heartbeat | undefined): number =>
	b ? a.incarnation - b.incarnation || a.beat - b.beat : 1;

const hasRelevantChange = (before: MemberEntry, after: Heartbeat): boolean => {
	const {heartbeat} = before;
	return (
		before.health !== 'alive' ||
		heartbeat?.incarnation !== after.incarnation ||
		heartbeat.state !== after.state ||
		heartbeat.generation !== after.generation ||
		heartbeat.workersDown.join(',') !== after.workersDown.join(',')
	);
};

/** Result of a merge: the new entry, and whether it has to be disseminated to the other instances. */
export type MergeResult = Readonly<{entry: MemberEntry; shouldDisseminate: boolean}>;

/** An entry for an instance from which no heartbeat has been received. */
export const newEntry = (id: string, address: string, nowMs: number): MemberEntry => ({
	id,
	address,
	health: 'unknown',
	heartbeat: undefined,
	lastHeartbeatMs: 0,
	silentSinceMs: nowMs,
});

/**
Merges a heartbeat received directly from the member. A heartbeat of an earlier incarnation or beat is ignored; it can arrive late after a restart or over a slow connection.

@example
```ts
const {entry, shouldDisseminate} = mergeHeartbeat(known, heartbeat, Date.now());
```
*/
export const mergeHeartbeat = (known: MemberEntry, heartbeat: Heartbeat, nowMs: number): MergeResult => {
	if (compareRecency(heartbeat, known.heartbeat) < 0) {
		return {entry: known, shouldDisseminate: false};
	}

	const entry: MemberEntry = {
		...known,
		address: heartbeat.address === '' ? known.address : heartbeat.address,
		health: 'alive',
		heartbeat,
		lastHeartbeatMs: nowMs,
		silentSinceMs: nowMs,
	};
	return {entry, shouldDisseminate: hasRelevantChange(known, heartbeat)};
};

/**
Merges a gossiped update about a member. The later beat wins; for the same beat the worse health does. A suspicion older than the last known heartbeat is refuted by disseminating that heartbeat.

@example
```ts
const {entry, shouldDisseminate} = mergeUpdate(known, update, Date.now());
```
*/
export const mergeUpdate = (known: MemberEntry, update: MemberUpdate, nowMs: number): MergeResult => {
	const recency = compareRecency(update.heartbeat, known.heartbeat);
	const isWorse = SEVERITY[update.health] > SEVERITY[known.health];
	if (recency < 0 || (recency === 0 && !isWorse)) {
		return {entry: known, shouldDisseminate: recency < 0 && isWorse && known.health === 'alive'};
	}

	const entry: MemberEntry = {
		...known,
		address: update.heartbeat.address === '' ? known.address : update.heartbeat.address,
		health: update.health,
		heartbeat: update.heartbeat,
		silentSinceMs: update.health === 'alive' ? nowMs : nowMs - update.silentMs,
	};
	return {entry, shouldDisseminate: known.health !== update.health || hasRelevantChange(known, update.heartbeat)};
};

/**
Moves a member that sends no heartbeats to suspect and then to dead.

@param observedSinceMs Start of the direct observation; undefined when the member is not a ring target of this instance.
*/
export const applySilenceTimeouts = (
	known: MemberEntry,
	observedSinceMs: number | undefined,
	nowMs: number,
): MergeResult => {
	const unchanged = {entry: known, shouldDisseminate: false};
	if (known.health === 'dead') {
		return unchanged;
	}

	if (known.health === 'suspect') {
		return nowMs - known.silentSinceMs >= DEAD_AFTER_MS
			? {entry: {...known, health: 'dead'}, shouldDisseminate: true}
			: unchanged;
	}

	if (observedSinceMs === undefined) {
		return unchanged;
	}

	const silentSinceMs = Math.max(known.lastHeartbeatMs, observedSinceMs);
	const silentMs = nowMs - silentSinceMs;
	if (known.health === 'unknown') {
		return silentMs >= DEAD_AFTER_MS
			? {entry: {...known, health: 'dead', silentSinceMs}, shouldDisseminate: false}
			: unchanged;
	}

	return silentMs >= SUSPECT_AFTER_MS
		? {entry: {...known, health: 'suspect', silentSinceMs}, shouldDisseminate: true}
		: unchanged;
};

/** Whether the entry of a member that is no longer listed can be deleted. A dead member's entry is retained for a while, so that late messages do not revive it. */
export const isPurgeable = ({health, silentSinceMs}: MemberEntry, nowMs: number): boolean =>
	health === 'unknown' || (health === 'dead' && nowMs - silentSinceMs >= DEAD_MEMBER_RETENTION_MS);

/** Whether a member may own work: it is alive or suspect, and live rather than starting or leaving. */
export const canOwn = ({health, heartbeat}: MemberEntry): boolean =>
	(health === 'alive' || health === 'suspect') && heartbeat?.state === 'live';
