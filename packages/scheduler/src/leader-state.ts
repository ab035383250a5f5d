import {objectiveMs, type Step} from '@bergamotgauge/jobs';
import {ACCELERATOR_CORES} from './constants.js';
import {NO_OUTCOMES, type Outcomes} from './failing-workers.js';
import {stepOf, type ActiveJob, type Part, type Placement} from './active-job.js';
import type {Policy} from './policy.js';
import {fits, sumResources} from './plan/resources.js';
import {createInterference, type Interference} from './interference/interference.js';
import type {PlanView} from './plan/types.js';
import {createRunTimes, type RunTimes} from './run-times.js';
import {createWorkerSpeeds, type WorkerSpeeds} from './speed/worker-speeds.js';
import type {Resources, Worker} from './types.js';
import type {WorkerLink} from './worker-link-types.js';

/** Health of a worker, derived from its runs. */
export type WorkerHealth = {
	/** Jobs that have failed on the worker. */
	failedJobs: Set<string>;
	outcomes: Outcomes;
	/** Time until which the worker gets work only when no other fits. */
	suspectUntilMs: number;
	/** Time until which the worker gets no work, after it has refused a start. */
	pausedUntilMs: number;
	/** Consecutive suspicions; each doubles the length of the next one. */
	suspicions: number;
	/** Time until which the worker counts as slow. */
	slowUntilMs: number;
	/** Consecutive times that it was found slow. */
	slowTimes: number;
	/** Drain deadline: time until which a draining worker is sure to stay. */
	drainDeadlineMs: number | undefined;
};

/** A start of which an attempt may be carried out until the time. */
export type LateStart = Readonly<{unit: string; run: number; untilMs: number}>;

/** In-memory state of a leader during its term. */
export type LeaderState = Readonly<{
	activeJobs: Map<string, ActiveJob>;
	links: Map<string, WorkerLink>;
	/** Workers that are listed in the store. */
	directory: Map<string, Worker>;
	workerHealth: Map<string, WorkerHealth>;
	/** Orphaned runs, which belong to no active job, by worker: the name of the unit and the number of the run. */
	orphanedRuns: Map<string, ReadonlySet<string>>;
	runTimes: RunTimes;
	workerSpeeds: WorkerSpeeds;
	interference: Interference;
	policy: Policy;
	/** View of the last planning pass; `undefined` before the first one. */
	latestView: {view: PlanView | undefined};
	/** Placements as of the last planning pass; some may have ended since. */
	placementIndex: {byWorker: Map<string, PlacedUnit[]>};
	/** Workers that are drained for the maintenance of their machines, with their drain deadlines in monotonic time; the disruption budgets go to them in this order. */
	maintenanceDrains: {deadlineByWorker: ReadonlyMap<string, number>};
	/** Availability zones in which nothing may start. */
	evacuatedZones: Set<string>;
	/** Workers that a maintenance order of this leader may end at any time. */
	orderedWorkers: Set<string>;
	/** Starts without a response, which the next incarnation of a worker may carry out, by worker. */
	lateStarts: Map<string, readonly LateStart[]>;
	/** Times since which workers that have crashed had been silent, by worker. */
	crashTimes: Map<string, number>;
}>;

export const createLeaderState = (policy: Policy): LeaderState => ({
	policy,
	activeJobs: new Map(),
	links: new Map(),
	directory: new Map(),
	workerHealth: new Map(),
	orphanedRuns: new Map(),
	runTimes: createRunTimes(),
	workerSpeeds: createWorkerSpeeds(),
	interference: createInterference(),
	latestView: {view: undefined},
	placementIndex: {byWorker: new Map()},
	maintenanceDrains: {deadlineByWorker: new Map()},
	evacuatedZones: new Set(),
	orderedWorkers: new Set(),
	lateStarts: new Map(),
	crashTimes: new Map(),
});

/** The health of a worker, created on first use. */
export const workerHealthOf = (state: LeaderState, workerId: string): WorkerHealth => {
	let health = state.workerHealth.get(workerId);
	if (!health) {
		health = {
			failedJobs: new Set(),
			outcomes: NO_OUTCOMES,
			suspectUntilMs: 0,
			pausedUntilMs: 0,
			suspicions: 0,
			slowUntilMs: 0,
			slowTimes: 0,
			drainDeadlineMs: undefined,
		};
		state.workerHealth.set(workerId, health);
	}

	return health;
};

/** A placement with its part and job. */
export type PlacedUnit = Readonly<{activeJob: ActiveJob; part: Part; placement: Placement}>;

/** All placements of active jobs. */
export const allPlacedUnits = function* (state: LeaderState): Generator<PlacedUnit> {
	for (const activeJob of state.activeJobs.values()) {
		for (const part of activeJob.parts.values()) {
			for (const placement of part.placements) {
				yield {activeJob, part, placement};
			}
		}
	}
};

const addPlacedUnit = (byWorker: Map<string, PlacedUnit[]>, placed: PlacedUnit) => {
	const list = byWorker.get(placed.placement.workerId);
	if (list) {
		list.push(placed);
	} else {
		byWorker.set(placed.placement.workerId, [placed]);
	}
};

/** Adds the placements of a part that has just been placed to the index by worker. */
export const indexPart = ({placementIndex}: LeaderState, {activeJob, part}: Omit<PlacedUnit, 'placement'>): void => {
	for (const placement of part.placements) {
		addPlacedUnit(placementIndex.byWorker, {activeJob, part, placement});
	}
};

export const placedByWorker = (state: LeaderState): Map<string, PlacedUnit[]> => {
	const byWorker = new Map<string, PlacedUnit[]>();
	for (const placed of allPlacedUnits(state)) {
		addPlacedUnit(byWorker, placed);
	}

	return byWorker;
};

/** Resources that one unit of the part takes on a worker. Best-effort units use spare cores, so they reserve none. */
export const needOf = (activeJob: ActiveJob, part: Part): Resources => {
	const {cpuMillis, memoryMb, accelerators, usesLeftover: isBestEffort} = stepOf(activeJob, part);
	return {cpuMillis: isBestEffort ? 0 : cpuMillis, memoryMb, accelerators};
};

/** Whether the worker, as it reports itself now, has the capacity for the units that are placed there; false for one that is not listed. */
export const hasCapacity = ({directory, placementIndex}: LeaderState, workerId: string): boolean => {
	const capacity = directory.get(workerId)?.capacity;
	const placed = (placementIndex.byWorker.get(workerId) ?? []).filter(({part, placement}) =>
		part.placements.includes(placement),
	);
	const used = sumResources(placed.map(({activeJob, part}) => needOf(activeJob, part)));
	return capacity !== undefined && fits(used, capacity);
};

/** Cores that a unit takes, with its accelerators converted to cores. */
export const coreEquivalentsOf = ({cpuMillis, accelerators}: Step): number =>
	cpuMillis / 1000 + accelerators * ACCELERATOR_CORES;

/** Run time on the worker relative to that on a typical one; above 1 on a slower worker. */
export const runFactorOf = ({policy, workerSpeeds}: LeaderState, workerId: string): number =>
	policy.runFactorOf(workerSpeeds, workerId);

/** Run time of the part on its workers relative to that on typical ones; the slowest worker decides for a gang. */
export const partRunFactor = (state: LeaderState, {placements}: Part): number =>
	placements.length === 0 ? 1 : Math.max(...placements.map(({workerId}) => runFactorOf(state, workerId)));

/** Expected run time of a unit on a typical worker: as measured on its step's other units, otherwise derived from the run times of its queue and the estimate. */
export const expectedRunMs = ({runTimes, policy}: LeaderState, activeJob: ActiveJob, step: number): number =>
	activeJob.stepTimes.get(step)?.runMs ??
	policy.expectRunMs(runTimes, activeJob.job.queue, activeJob.job.steps[step]?.estimateMs ?? 0);

/** Time within which the job should complete, based on the expected run times. */
export const expectedObjectiveMs = (state: LeaderState, activeJob: ActiveJob): number =>
	objectiveMs({
		...activeJob.job,
		steps: activeJob.job.steps.map((step, index) => ({...step, estimateMs: expectedRunMs(state, activeJob, index)})),
	});

/** Whether the part runs in the rack of its data and, if it asks for that, in a single rack; otherwise it runs slower. */
export const isDataLocal = ({directory}: LeaderState, activeJob: ActiveJob, part: Part): boolean => {
	const {dataRack, sameRack} = stepOf(activeJob, part);
	const racks = new Set(part.placements.map(({workerId}) => directory.get(workerId)?.rack));
	const isOneRack = racks.size <= 1 || !sameRack;
	return isOneRack && (dataRack === undefined || [...racks].every((rack) => rack === dataRack));
};
