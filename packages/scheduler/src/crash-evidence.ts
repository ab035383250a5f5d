import type {CrashedRun, CrashSuspicion} from '@bergamotgauge/jobs';
import type {Part} from './active-job.js';
import {
	COMMON_CAUSE_WINDOW_MS,
	COMMON_CAUSE_WORKERS,
	EARLY_CRASH_MS,
	MAX_CRASHES,
	MAX_CRASHES_IF_CERTAIN,
	MAX_CRASHES_IF_LIKELY,
	OUTLAST_FACTOR,
	OUTLAST_MARGIN_MS,
	RETRY_AFTER_CRASH_MS,
	SUSPECT_CRASHES,
} from './constants.js';
import type {LeaderState, PlacedUnit} from './leader-state.js';

/** Crash of a worker as the leader has seen it, in monotonic time. */
export type WorkerCrash = Readonly<{
	workerId: string;
	/** Time of the last response before the crash. */
	lastReplyMs: number;
	/** Time of the first call that got no response. */
	silentSinceMs: number;
	/** Units that may have been on the worker. */
	placed: readonly PlacedUnit[];
}>;

/** Parts that are to run alone on their workers, where another crash harms no other work and shows the cause. */
export const isCrashSuspect = ({crashes}: Pick<Part, 'crashes'>): boolean =>
	crashes.length >= SUSPECT_CRASHES || crashes.some(({suspicion}) => suspicion !== 'possible');

/** Whether a part is so likely to crash its workers that it waits for an empty one; others wait for it only for a moment. */
export const isStrongCrashSuspect = ({crashes}: Pick<Part, 'crashes'>): boolean =>
	isCrashSuspect({crashes}) && (crashes.length > 1 || crashes.some(({suspicion}) => suspicion === 'certain'));

/** Whether the part has crashed so many workers that it is not started again. */
export const hasReachedCrashLimit = ({crashes}: Pick<Part, 'crashes'>): boolean =>
	crashes.length >= (crashes.some(({suspicion}) => suspicion !== 'possible') ? MAX_CRASHES_IF_LIKELY : MAX_CRASHES) ||
	(crashes.length >= MAX_CRASHES_IF_CERTAIN && crashes.at(-1)?.suspicion === 'certain');

/** Records a run that ended with the crash of its worker, once for all members of a gang. Returns whether it is new. */
export const recordCrash = (part: Part, crash: CrashedRun, nowMs: number): boolean => {
	if (part.trialRun === crash.run) {
		part.trialRun = 0;
	}

	if (part.crashes.some(({run}) => run === crash.run)) {
		return false;
	}

	part.crashes = [...part.crashes, crash];
	if (isStrongCrashSuspect(part)) {
		part.pausedUntilMs = nowMs + RETRY_AFTER_CRASH_MS * part.crashes.length;
	}

	return true;
};

/** Whether a run has gone on for so much longer than those that crashed that it is not going to crash its worker as they did. */
export const outlastsCrashes = ({crashes}: Pick<Part, 'crashes'>, ranMs: number): boolean =>
	crashes.length > 0 && ranMs > OUTLAST_FACTOR * Math.max(...crashes.map((crash) => crash.ranMs)) + OUTLAST_MARGIN_MS;

/** Whether other workers stopped responding at about the same time, so that units on this one are unlikely to be the cause. */
const hasCommonCause = (state: LeaderState, {workerId, silentSinceMs, placed}: WorkerCrash): boolean => {
	// A gang may crash the workers of all of its members.
	const related = new Set(placed.flatMap(({part}) => part.placements.map((placement) => placement.workerId)));
	const isNear = (ms: number | undefined) => ms !== undefined && Math.abs(ms - silentSinceMs) <= COMMON_CAUSE_WINDOW_MS;
	const others = new Set(
		[...state.crashTimes, ...[...state.links].map(([id, link]) => [id, link.silentSinceMs()] as const)]
			.filter(([id, ms]) => id !== workerId && !related.has(id) && isNear(ms))
			.map(([id]) => id),
	);
	return others.size >= COMMON_CAUSE_WORKERS - 1;
};

/** The units among which the cause of the crash is: those that had just started, else all. */
const findCandidates = ({placed, lastReplyMs}: WorkerCrash, isCommon: boolean): readonly PlacedUnit[] => {
	const early = placed.filter(({placement}) => placement.startedMs >= lastReplyMs - EARLY_CRASH_MS);
	return early.length > 0 || isCommon ? early : placed;
};

const crashOf = ({placement}: PlacedUnit, silentSinceMs: number, suspicion: CrashSuspicion): CrashedRun => ({
	run: placement.run,
	ranMs: Math.max(0, Math.round(silentSinceMs - placement.startedMs)),
	suspicion,
});

/** Returns the suspects on a worker that has stayed silent until its lease ended, which may have been a crash. */
export const suspectsAfterSilence = ({
	placed,
	silentSinceMs,
}: WorkerCrash): ReadonlyArray<Readonly<PlacedUnit & {crash: CrashedRun}>> =>
	placed
		.filter(({part}) => isCrashSuspect(part))
		.map((placedUnit) => ({...placedUnit, crash: crashOf(placedUnit, silentSinceMs, 'possible')}));

/**
Returns the runs that may have caused the crash of a worker, with how likely that is. The end of a worker names no cause, so a part counts as the cause only after several crashes, the last of them alone.

@example
```ts
for (const {part, crash} of suspectsOf(state, {workerId, lastReplyMs, silentSinceMs, placed})) {
	recordCrash(part, crash, now());
}
```
*/
export const suspectsOf = (
	state: LeaderState,
	workerCrash: WorkerCrash,
): ReadonlyArray<Readonly<PlacedUnit & {crash: CrashedRun}>> => {
	const {silentSinceMs, lastReplyMs} = workerCrash;
	const isCommon = hasCommonCause(state, workerCrash);
	const candidates = findCandidates(workerCrash, isCommon);
	const isSingle = new Set(candidates.map(({part}) => part)).size === 1;
	const hasStrong = candidates.some(({part}) => isStrongCrashSuspect(part));
	return candidates.map((placed) => {
		const isEarly = placed.placement.startedMs >= lastReplyMs - EARLY_CRASH_MS;
		// Each candidate is counted, also beside a known suspect, which may have been one by mistake.
		const isLikely = isEarly && (!hasStrong || isStrongCrashSuspect(placed.part));
		const suspicion: CrashSuspicion = isCommon ? 'possible' : isSingle ? 'certain' : isLikely ? 'likely' : 'possible';
		return {...placed, crash: crashOf(placed, silentSinceMs, suspicion)};
	});
};
