import {
	formatUnitName,
	occurrenceOfKey,
	type CrashedRun,
	type Job,
	type JobFailure,
	type Progress,
	type RunEnd,
	type Step,
} from '@bergamotgauge/jobs';
import {RUNS_PER_TERM} from './constants.js';
import {addOccurrence, findPart, hasUnopened, type UnopenedUnits} from './job-parts.js';
import type {ProgressWindow} from './progress-window.js';

/** One run of a unit on a worker. */
export type Placement = {
	readonly workerId: string;
	readonly index: number;
	readonly run: number;
	/** A start without a response may still take effect, so `starting` occupies its resources until the outcome is known. */
	phase: 'starting' | 'running' | 'stopping';
	readonly startedMs: number;
	/** Time since which the worker is known to have accepted the run. */
	acceptedMs: number | undefined;
	/** Time at which the worker accepted a stop. */
	stopAcceptedMs: number | undefined;
	/** An attempt at the start got no response, so it may still be carried out, by this incarnation of the worker or the next. */
	isStartUncertain: boolean;
	/** Time until which the run may turn up on the next incarnation of its worker, which is asked to stop it; `undefined` while its own incarnation lives. */
	heldUntilMs: number | undefined;
	/** Time after which no attempt at the start can take effect; `undefined` unless its outcome is unknown. */
	startExpiryMs: number | undefined;
	/** Consecutive reports of the worker that do not list the run though it was accepted or its start has expired. */
	missedReports: number;
	percent: number;
	/** Started from the beginning by this leader, so that its duration is the run time of the unit. */
	readonly isFullRun: boolean;
	/** Time of the last report that showed progress. */
	progressMs: number;
	/** Recent progress; `undefined` before the first report of a run that resumed or was taken over. */
	window: ProgressWindow | undefined;
	/** Time of the last report that lists the run. */
	reportedMs: number;
	/** Latest measurement by the worker; see `RunningUnit`. */
	recentFigure: number | undefined;
	/** CPU share that was ordered last, in percent; `undefined` if it is not known. */
	throttlePercent: number | undefined;
	/** Time until which a throttle order without a response may be carried out, after newer ones. */
	throttleDoubtUntilMs: number;
	/** Its run time has been counted for the speed of its worker. */
	isSpeedCounted: boolean;
};

/** The smallest group of units that starts and ends together: a single unit, or all units of a gang. */
export type Part = {
	readonly key: string;
	readonly occurrence: number;
	readonly step: number;
	readonly indexes: readonly number[];
	isDone: boolean;
	/** Wall-clock time at which the part was done. */
	doneMs: number | undefined;
	failures: number;
	/** Number of the latest run that has ended. */
	run: number;
	/** Numbers of the runs whose failures were counted; ends of several runs may be reported in any order. */
	failedRuns: ReadonlySet<number>;
	/** Runs whose ends were recorded by this leader, by worker, index and number. */
	endedRuns: Set<string> | undefined;
	/** Number of the latest run that was ordered. */
	orderedRun: number;
	checkpoint: string;
	placements: Placement[];
	/** Time since which the part has been ready but not placed. */
	waitingSinceMs: number | undefined;
	/** Workers on which the part failed, stalled or was slow. */
	avoided: ReadonlySet<string>;
	/** Times that the part was stopped as stalled. */
	stalls: number;
	/** Times that the part was moved off slow workers. */
	slowRestarts: number;
	/** Runs whose workers crashed since a run outlasted its crashes. */
	crashes: readonly CrashedRun[];
	/** Number of the run that is ordered on trial; 0 if there is none. It is stored first, so that a later leader knows of the run. */
	trialRun: number;
	/** Time until which the part is not started again after a crash. */
	pausedUntilMs: number;
};

/** Mean run time of units on a typical worker, in milliseconds, and their number. */
export type StepTime = Readonly<{runMs: number; units: number}>;

/** In-memory state of a job on the leader, kept until its outcome is stored and none of its units is placed any more. */
export type ActiveJob = {
	readonly job: Job;
	/** Parts of the due occurrences, by key, without those of the unopened units and the settled parts. */
	readonly parts: Map<string, Part>;
	/** Parts that are done and placed nowhere, by key; kept apart, since passes look at all others. */
	readonly settledParts: Map<string, Part>;
	/** Units of the due occurrences that have no part yet, by occurrence and step. */
	readonly unopened: Map<string, UnopenedUnits>;
	/** Mean run time of the units that have ended, by step. */
	readonly stepTimes: Map<number, StepTime>;
	/** Number of occurrences whose parts have been added. */
	occurrences: number;
	isCancelled: boolean;
	hasBegun: boolean;
	outcome: Progress['outcome'];
	failure: JobFailure | undefined;
	endedMs: number | undefined;
	/** Counts changes to the state that is stored; `storedChanges` is the count as of the last write. */
	changes: number;
	storedChanges: number;
	progressRevision: number;
	jobRevision: number;
};

/** Number of times that a job's steps run. */
export const occurrencesOf = ({schedule}: Job): number => Math.max(1, schedule?.repeats ?? 1);

/** Wall-clock time at which an occurrence is due. */
export const dueMs = ({schedule, acceptedMs}: Job, occurrence: number): number =>
	schedule ? schedule.firstMs + occurrence * schedule.intervalMs : acceptedMs;

/**
Age of a part in milliseconds: since its job was due or, for long-running work, since it stopped running. `nowMs` is monotonic time, `wallClockMs` wall-clock time.
*/
export const ageOf = (
	activeJob: ActiveJob,
	part: Part,
	{nowMs, wallClockMs}: Readonly<{nowMs: number; wallClockMs: number}>,
): number =>
	stepOf(activeJob, part).longRunning
		? nowMs - (part.waitingSinceMs ?? nowMs)
		: wallClockMs - dueMs(activeJob.job, part.occurrence);

/**
Creates the in-memory state of a job from its stored records; `nowMs` is wall-clock time.

@example
```ts
const activeJob = createActiveJob({job, progress: undefined, progressRevision: 0, jobRevision, isCancelled: false, nowMs: Date.now()});
```
*/
export const createActiveJob = (
	options: Readonly<{
		job: Job;
		progress: Progress | undefined;
		progressRevision: number;
		jobRevision: number;
		isCancelled: boolean;
		nowMs: number;
	}>,
): ActiveJob => {
	const {job, progress, progressRevision, jobRevision, isCancelled, nowMs} = options;
	const activeJob: ActiveJob = {
		job,
		parts: new Map(),
		settledParts: new Map(),
		unopened: new Map(),
		stepTimes: new Map(),
		occurrences: 0,
		isCancelled,
		hasBegun: progress?.hasBegun ?? false,
		outcome: progress?.outcome,
		failure: progress?.failure,
		endedMs: progress?.endedMs,
		changes: 0,
		storedChanges: 0,
		progressRevision,
		jobRevision,
	};
	// An earlier leader has begun these, whether or not they are due by the wall clock of this instance.
	const begunOccurrences = 1 + Math.max(-1, ...Object.keys(progress?.parts ?? {}).map((key) => occurrenceOfKey(key)));
	while (activeJob.occurrences < begunOccurrences) {
		addOccurrence(activeJob, progress);
	}

	addDueOccurrences(activeJob, nowMs);
	return activeJob;
};

/** A job without a schedule is due once it is accepted, by whichever clock. */
const isDue = (job: Job, occurrence: number, nowMs: number): boolean =>
	job.schedule === undefined || dueMs(job, occurrence) <= nowMs;

/** Adds all occurrences that are due; returns the wall-clock time of the next one. */
export const addDueOccurrences = (activeJob: ActiveJob, nowMs: number): number | undefined => {
	const total = occurrencesOf(activeJob.job);
	while (activeJob.occurrences < total && isDue(activeJob.job, activeJob.occurrences, nowMs)) {
		addOccurrence(activeJob);
	}

	return activeJob.occurrences < total ? dueMs(activeJob.job, activeJob.occurrences) : undefined;
};

const isStepComplete = (activeJob: ActiveJob, occurrence: number, step: number): boolean => {
	if (hasUnopened(activeJob, occurrence, step)) {
		return false;
	}

	for (const part of activeJob.parts.values()) {
		if (part.occurrence === occurrence && part.step === step && !part.isDone) {
			return false;
		}
	}

	return true;
};

/** Whether the steps before this one are complete. */
export const isStepReady = (activeJob: ActiveJob, occurrence: number, step: number): boolean =>
	(activeJob.job.steps[step]?.after ?? []).every((earlier) => isStepComplete(activeJob, occurrence, earlier));

/** Whether all units have ended that have been due by now. */
export const isComplete = ({job, occurrences, parts, unopened}: ActiveJob): boolean =>
	occurrences === occurrencesOf(job) && unopened.size === 0 && [...parts.values()].every(({isDone}) => isDone);

/** Opened parts whose preceding steps are complete and that are not placed, in the order of their steps. */
export const readyParts = (activeJob: ActiveJob): Part[] => {
	if (activeJob.outcome !== undefined || activeJob.isCancelled) {
		return [];
	}

	const openSteps = new Map<string, boolean>();
	const isOpen = ({occurrence, step}: Part): boolean => {
		const key = `${occurrence}.${step}`;
		const open = openSteps.get(key) ?? isStepReady(activeJob, occurrence, step);
		openSteps.set(key, open);
		return open;
	};

	return [...activeJob.parts.values()].filter((part) => !part.isDone && part.placements.length === 0 && isOpen(part));
};

/** Number of the next run of a part in a term; greater than those of earlier terms. */
export const nextRun = (part: Part, term: number): number =>
	Math.max(part.orderedRun, part.run, (term - 1) * RUNS_PER_TERM) + 1;

/** A run of one unit of a part on a worker incarnation. */
export type UnitRun = Readonly<{workerId: string; startedMs?: number | undefined; index: number; run: number}>;

const NO_WORKERS: readonly string[] = [];

const unitRunKey = ({workerId, startedMs, index, run}: UnitRun): string =>
	`${workerId}@${startedMs ?? ''} ${index} ${run}`;

export const markEnded = (part: Part, unitRun: UnitRun): void => {
	part.endedRuns ??= new Set();
	part.endedRuns.add(unitRunKey(unitRun));
};

/** Workers on which this leader has recorded the end of a run of the part; a worker may be given several times. */
export const workersOfEnds = ({endedRuns}: Part): readonly string[] =>
	endedRuns ? [...endedRuns].map((key) => key.slice(0, key.indexOf('@'))) : NO_WORKERS;

/** Whether this leader has recorded the end of the run. */
export const hasEnded = (part: Part, unitRun: UnitRun): boolean => part.endedRuns?.has(unitRunKey(unitRun)) ?? false;

export const partOf = (activeJob: ActiveJob, occurrence: number, step: number, index: number): Part | undefined => {
	while (activeJob.occurrences <= occurrence && activeJob.occurrences < occurrencesOf(activeJob.job)) {
		addOccurrence(activeJob);
	}

	return findPart(activeJob, occurrence, step, index);
};

export const stepOf = (activeJob: ActiveJob, part: Part): Step => activeJob.job.steps[part.step]!;

/** Name of a unit on its worker. */
export const unitNameOf = (activeJob: ActiveJob, part: Part, index: number): string =>
	formatUnitName({jobId: activeJob.job.id, occurrence: part.occurrence, step: part.step, index});
