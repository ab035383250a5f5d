import {DEAD_MEMORY_MS, REMOVE_AFTER_MS, SUSPECT_AFTER_MS} from './constants.js';
import type {Health, Heartbeat, MemberUpdate} from './types.js';

/** What is known of one other instance. */
export type MemberEntry = Readonly<{
	id: string;
	address: string;
	health: Health;
	heartbeat: Heartbeat | undefined;
	/** Last sign of life that this instance got from the member itself. */
	heardMs: number;
	/** Start of the silence, for a member that is suspect or dead. */
	silentSinceMs: number;
}>;

const SEVERITY: Readonly<Record<Health, number>> = {unknown: 0, alive: 1, suspect: 2, dead: 3};

/** Orders heartbeats of one id by age: a later incarnation first, then a later beat. */
const compareAge = (a: Heartbeat, b: Heartbeat | undefined): number =>
	b ? a.incarnation - b.incarnation || a.beat - b.beat : 1;

const hasNews = (before: MemberEntry, after: Heartbeat): boolean => {
	const {heartbeat} = before;
	return (
		before.health !== 'alive' ||
		heartbeat?.incarnation !== after.incarnation ||
		heartbeat.state !== after.state ||
		heartbeat.generation !== after.generation ||
		heartbeat.workersDown.join(',') !== after.workersDown.join(',')
	);
};

/** The result of new information: the entry, and whether the other instances should learn of it. */
export type Merged = Readonly<{entry: MemberEntry; isNews: boolean}>;

/** An entry for an instance that has not been heard yet. */
export const newEntry = (id: string, address: string, nowMs: number): MemberEntry => ({
	id,
	address,
	health: 'unknown',
	heartbeat: undefined,
	heardMs: 0,
	silentSinceMs: nowMs,
});

/**
Merges a heartbeat that came from the member itself. One of an earlier incarnation or beat may still be under way after a restart or on a slow connection, and changes nothing.

@example
```ts
const {entry, isNews} = mergeDirect(known, heartbeat, Date.now());
```
*/
export const mergeDirect = (known: MemberEntry, heartbeat: Heartbeat, nowMs: number): Merged => {
	if (compareAge(heartbeat, known.heartbeat) < 0) {
		return {entry: known, isNews: false};
	}

	const entry: MemberEntry = {
		...known,
		address: heartbeat.address === '' ? known.address : heartbeat.address,
		health: 'alive',
		heartbeat,
		heardMs: nowMs,
		silentSinceMs: nowMs,
	};
	return {entry, isNews: hasNews(known, heartbeat)};
};

/**
Merges what another instance says of a member. The later beat wins; for the same beat the worse health does. A suspicion that is older than a known sign of life is answered with that sign.

@example
```ts
const {entry, isNews} = mergeUpdate(known, update, Date.now());
```
*/
export const mergeUpdate = (known: MemberEntry, update: MemberUpdate, nowMs: number): Merged => {
	const age = compareAge(update.heartbeat, known.heartbeat);
	const isWorse = SEVERITY[update.health] > SEVERITY[known.health];
	if (age < 0 || (age === 0 && !isWorse)) {
		return {entry: known, isNews: age < 0 && isWorse && known.health === 'alive'};
	}

	const entry: MemberEntry = {
		...known,
		address: update.heartbeat.address === '' ? known.address : update.heartbeat.address,
		health: update.health,
		heartbeat: update.heartbeat,
		silentSinceMs: update.health === 'alive' ? nowMs : nowMs - update.silentMs,
	};
	return {entry, isNews: known.health !== update.health || hasNews(known, update.heartbeat)};
};

/**
Moves a silent member to suspect and then to dead.

@param watchedSinceMs Start of the direct observation; undefined when this instance does not send heartbeats to the member.
*/
export const mergeSilence = (known: MemberEntry, watchedSinceMs: number | undefined, nowMs: number): Merged => {
	const unchanged = {entry: known, isNews: false};
	if (known.health === 'dead') {
		return unchanged;
	}

	if (known.health === 'suspect') {
		return nowMs - known.silentSinceMs >= REMOVE_AFTER_MS
			? {entry: {...known, health: 'dead'}, isNews: true}
			: unchanged;
	}

	if (watchedSinceMs === undefined) {
		return unchanged;
	}

	const silentSinceMs = Math.max(known.heardMs, watchedSinceMs);
	const silentMs = nowMs - silentSinceMs;
	if (known.health === 'unknown') {
		return silentMs >= REMOVE_AFTER_MS ? {entry: {...known, health: 'dead', silentSinceMs}, isNews: false} : unchanged;
	}

	return silentMs >= SUSPECT_AFTER_MS ? {entry: {...known, health: 'suspect', silentSinceMs}, isNews: true} : unchanged;
};

/** Whether a member that the list no longer has can be forgotten. A dead one is kept for a while, so that late messages do not bring it back. */
export const isForgettable = ({health, silentSinceMs}: MemberEntry, nowMs: number): boolean =>
	health === 'unknown' || (health === 'dead' && nowMs - silentSinceMs >= DEAD_MEMORY_MS);

/** Whether a member may own work: it was heard, is not dead and does not leave. */
export const canOwn = ({health, heartbeat}: MemberEntry): boolean =>
	(health === 'alive' || health === 'suspect') && heartbeat?.state === 'live';
