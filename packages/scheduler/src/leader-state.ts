import {objectiveMs, type Step} from '@bergamotgauge/jobs';
import {ACCELERATOR_CORES} from './constants.js';
import {stepOf, type JobRun, type Part, type Placement} from './job-run.js';
import {createRunTimes, type RunTimes} from './run-times.js';
import type {Room, Worker} from './types.js';
import type {WorkerLink} from './worker-link.js';

/** Evidence about a worker from the runs on it. */
export type WorkerHealth = {
	/** Failures of different jobs in a row. */
	failedJobs: Set<string>;
	/** Time until which the worker gets work only when no other fits. */
	suspectUntilMs: number;
	/** Time until which the worker gets no work. */
	pausedUntilMs: number;
	/** Times in a row that it was put under suspicion; lengthens the next one. */
	suspicions: number;
	/** Time until which the worker counts as slow. */
	slowUntilMs: number;
	/** Times in a row that it was found slow. */
	slowTimes: number;
	/** Time until which a worker that leaves is sure to stay. */
	staysUntilMs: number | undefined;
};

/** All that a leader keeps in memory during its term. */
export type LeaderState = Readonly<{
	runs: Map<string, JobRun>;
	links: Map<string, WorkerLink>;
	/** Workers as the platform lists them. */
	directory: Map<string, Worker>;
	workerHealth: Map<string, WorkerHealth>;
	/** Runs that are on workers and belong to no job that should run, by worker and unit. */
	strays: Map<string, Map<string, number>>;
	runTimes: RunTimes;
	/** Placements by worker as of the last planning pass; some may have ended since. */
	index: {placed: ReadonlyMap<string, readonly PlacedUnit[]>};
	/** Workers that are emptied for the upkeep of their machines, with the steady time by which they should be empty. */
	emptying: {untilByWorker: ReadonlyMap<string, number>};
}>;

export const createLeaderState = (): LeaderState => ({
	runs: new Map(),
	links: new Map(),
	directory: new Map(),
	workerHealth: new Map(),
	strays: new Map(),
	runTimes: createRunTimes(),
	index: {placed: new Map()},
	emptying: {untilByWorker: new Map()},
});

/** The record of a worker, created on first use. */
export const workerHealthOf = (state: LeaderState, workerId: string): WorkerHealth => {
	let health = state.workerHealth.get(workerId);
	if (!health) {
		health = {
			failedJobs: new Set(),
			suspectUntilMs: 0,
			pausedUntilMs: 0,
			suspicions: 0,
			slowUntilMs: 0,
			slowTimes: 0,
			staysUntilMs: undefined,
		};
		state.workerHealth.set(workerId, health);
	}

	return health;
};

export type PlacedUnit = Readonly<{run: JobRun; part: Part; placement: Placement}>;

/** All placements of active jobs. */
export const allPlacedUnits = function* (state: LeaderState): Generator<PlacedUnit> {
	for (const run of state.runs.values()) {
		for (const part of run.parts.values()) {
			for (const placement of part.placements) {
				yield {run, part, placement};
			}
		}
	}
};

/** Placements by worker. */
export const placedByWorker = (state: LeaderState): ReadonlyMap<string, readonly PlacedUnit[]> => {
	const byWorker = new Map<string, PlacedUnit[]>();
	for (const placed of allPlacedUnits(state)) {
		const list = byWorker.get(placed.placement.workerId);
		if (list) {
			list.push(placed);
		} else {
			byWorker.set(placed.placement.workerId, [placed]);
		}
	}

	return byWorker;
};

/** Room that one unit of the part takes on a worker. */
export const needOf = (run: JobRun, part: Part): Room => {
	const {cpuMillis, memoryMb, accelerators, usesLeftover} = stepOf(run, part);
	return {cpuMillis: usesLeftover ? 0 : cpuMillis, memoryMb, accelerators};
};

/** Cores that a unit takes, with accelerators weighed in. */
export const coreEquivalentsOf = ({cpuMillis, accelerators}: Step): number =>
	cpuMillis / 1000 + accelerators * ACCELERATOR_CORES;

/** Expected run time of a unit: that of its step's other units, else by queue and estimate. */
export const expectedRunMs = ({runTimes}: LeaderState, run: JobRun, step: number): number =>
	run.stepTimes.get(step) ?? runTimes.expectMs(run.job.queue, run.job.steps[step]?.estimateMs ?? 0);

/** Time within which the job should complete, by the expected run times. */
export const expectedObjectiveMs = (state: LeaderState, run: JobRun): number =>
	objectiveMs({
		...run.job,
		steps: run.job.steps.map((step, index) => ({...step, estimateMs: expectedRunMs(state, run, index)})),
	});

/** Whether the part runs in the rack of its data, and in one rack where it asks for one; else it takes longer than usual. */
export const isDataLocal = ({directory}: LeaderState, run: JobRun, part: Part): boolean => {
	const {dataRack, sameRack} = stepOf(run, part);
	const racks = new Set(part.placements.map(({workerId}) => directory.get(workerId)?.rack));
	const isOneRack = racks.size <= 1 || !sameRack;
	return isOneRack && (dataRack === undefined || [...racks].every((rack) => rack === dataRack));
};
