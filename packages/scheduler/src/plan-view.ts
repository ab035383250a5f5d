import {isCrashSuspect, isStrongCrashSuspect} from './crash-evidence.js';
import {protectedParts} from './disruption-budget.js';
import {GUARANTEED_RANK_OFFSET, RESTART_MS} from './constants.js';
import {ageOf, readyParts, stepOf, type ActiveJob, type Part} from './active-job.js';
import {failureShare, suspicionLimit, unprovenShare} from './failing-workers.js';
import {
	coreEquivalentsOf,
	expectedObjectiveMs,
	expectedRunMs,
	needOf,
	runFactorOf,
	workerHealthOf,
	type LeaderState,
	type PlacedUnit,
} from './leader-state.js';
import {kindOf} from './interference/observe-shared.js';
import type {PlanPart, PlanPlacement, PlanView, PlanWorker} from './plan/types.js';
import {subtractResources, sumResources} from './plan/resources.js';
import {maxRunFactorOf} from './plan/speed-choice.js';
import type {HeldByPart} from './reservation/types.js';
import {expectedEndMs} from './run-forecast.js';
import type {Bounds, Declarations} from './types.js';

export type PlanViewOptions = Readonly<{
	state: LeaderState;
	declarations: Declarations | undefined;
	bounds: Bounds;
	/** Monotonic time. */
	nowMs: number;
	/** Wall-clock time. */
	wallClockMs: number;
	/** Whether the worker may get orders. */
	isOrderable: (workerId: string) => boolean;
	/** Whether an earlier run of the part may still be on a worker that has not responded. */
	isBlocked: (activeJob: ActiveJob, part: Part) => boolean;
	/** Whether latency-sensitive units on the worker suffer interference. */
	isContended: (workerId: string) => boolean;
	/** Workers that pending parts keep since an earlier pass. */
	held: HeldByPart;
	/** Workers that the advice service has approved for a step. */
	allowedWorkers: (stepId: string) => ReadonlySet<string>;
}>;

/** Identifies a part among all jobs. */
export const partIdOf = (activeJob: ActiveJob, part: Part): string => `${activeJob.job.id}.${part.key}`;

/** Identifies the step and occurrence of a part among all jobs. */
export const stepIdOf = (activeJob: ActiveJob, part: Part): string =>
	`${activeJob.job.id}.${part.occurrence}.${part.step}`;

/** Work of a run that a stop would lose, in core-milliseconds. */
export const lostWorkOf = ({activeJob, part, placement}: PlacedUnit, nowMs: number): number => {
	const step = stepOf(activeJob, part);
	// A unit with checkpoints saves one when it is stopped, and a long-running one has no progress: both lose the restart.
	const lostMs = step.checkpoints || step.longRunning ? RESTART_MS : nowMs - placement.startedMs;
	return lostMs * coreEquivalentsOf(step) * part.indexes.length;
};

const viewPlacement = (
	{state, nowMs}: PlanViewOptions,
	placed: PlacedUnit,
	isGuaranteed: boolean,
	isStoppable: boolean,
): PlanPlacement => {
	const {activeJob, part, placement} = placed;
	const {maxPerWorker, requiredLabel} = stepOf(activeJob, part);
	return {
		partId: partIdOf(activeJob, part),
		need: needOf(activeJob, part),
		priority: activeJob.job.priority,
		customer: activeJob.job.customer,
		isGuaranteed,
		isStoppable,
		isMovable: part.indexes.length === 1 && maxPerWorker === 0 && !activeJob.job.advice && part.crashes.length === 0,
		requiredLabel,
		lostWorkCoreMs: lostWorkOf(placed, nowMs),
		endMs: expectedEndMs(state, placed, nowMs),
		// A finished run frees its resources without a stop.
		isStopping: placement.phase === 'stopping' || part.isDone || activeJob.outcome !== undefined,
	};
};

/** Whether all units on a worker belong to one part. */
const isAlone = (placedUnits: readonly PlacedUnit[]): boolean => new Set(placedUnits.map(({part}) => part)).size === 1;

/** Whether the part has its workers for itself. */
const runsAlone = ({placementIndex}: LeaderState, {placements}: Part): boolean =>
	placements.length > 0 && placements.every(({workerId}) => isAlone(placementIndex.byWorker.get(workerId) ?? []));

const viewWorkers = (options: PlanViewOptions, covered: ReadonlySet<ActiveJob>): readonly PlanWorker[] => {
	const {state, nowMs, isOrderable, isContended} = options;
	const {byWorker: placed} = state.placementIndex;
	const protectedNow = protectedParts(state);
	const failureShares = new Map(
		[...state.directory.keys()].map((id) => [id, failureShare(workerHealthOf(state, id).outcomes, nowMs)]),
	);
	const failureLimit = suspicionLimit([...failureShares.values()]);
	return [...state.directory.values()].map((worker) => {
		const health = workerHealthOf(state, worker.id);
		const placedUnits = placed.get(worker.id) ?? [];
		const used = sumResources(placedUnits.map(({activeJob, part}) => needOf(activeJob, part)));
		const hasCrashSuspect = placedUnits.some(({part}) => isCrashSuspect(part));
		const hasOrphanedRuns = (state.orphanedRuns.get(worker.id)?.size ?? 0) > 0;
		return {
			id: worker.id,
			service: worker.service,
			rack: worker.rack,
			labels: worker.labels,
			capacity: worker.capacity,
			free: subtractResources(worker.capacity, used),
			isUsable:
				worker.state === 'ready' &&
				isOrderable(worker.id) &&
				health.pausedUntilMs <= nowMs &&
				!hasOrphanedRuns &&
				// Another crash would end the work beside a suspect that is alone.
				!(hasCrashSuspect && isAlone(placedUnits)) &&
				!state.maintenanceDrains.deadlineByWorker.has(worker.id) &&
				!state.evacuatedZones.has(worker.availabilityZone),
			isDraining: worker.state !== 'ready',
			isEvacuated: state.evacuatedZones.has(worker.availabilityZone),
			isSuspect:
				Math.max(health.suspectUntilMs, health.slowUntilMs) > nowMs ||
				(failureShares.get(worker.id) ?? 0) > failureLimit,
			hasCrashSuspect,
			unprovenShare: unprovenShare(health.outcomes, nowMs),
			runFactor: runFactorOf(state, worker.id),
			kinds:
				state.policy.interference === 'avoided' ? placedUnits.map(({activeJob, part}) => kindOf(activeJob, part)) : [],
			isContended: isContended(worker.id),
			placements: placedUnits.map((placedUnit) =>
				viewPlacement(options, placedUnit, covered.has(placedUnit.activeJob), !protectedNow.has(placedUnit.part)),
			),
		};
	});
};

/** Guarantee, objective and expected run times of a job, determined once a pass. */
type Expectation = Readonly<{
	activeJob: ActiveJob;
	isGuaranteed: boolean;
	objectiveMs: number;
	/** Expected run time of a unit of the step. */
	runMsOf: (step: number) => number;
}>;

const createRunMsOf = (state: LeaderState, activeJob: ActiveJob): Expectation['runMsOf'] => {
	const runMsByStep = new Map<number, number>();
	return (step) => {
		const runMs = runMsByStep.get(step) ?? expectedRunMs(state, activeJob, step);
		runMsByStep.set(step, runMs);
		return runMs;
	};
};

/** Time for which a pending part can still wait before its job misses its objective or its customer's guarantee. */
const slackOf = (
	{activeJob, isGuaranteed, objectiveMs, runMsOf}: Expectation,
	part: Part,
	{nowMs, wallClockMs, bounds}: PlanViewOptions,
): number => {
	const ageMs = ageOf(activeJob, part, {nowMs, wallClockMs});
	const slackMs = objectiveMs - ageMs - runMsOf(part.step);
	// Half of the limit is reserved for slow stops.
	return isGuaranteed ? Math.min(slackMs, bounds.reclaimMs / 2 - ageMs) : slackMs;
};

const viewPart = (expectation: Expectation, part: Part, options: PlanViewOptions): PlanPart => {
	const {activeJob, isGuaranteed, objectiveMs, runMsOf} = expectation;
	const {nowMs, wallClockMs, state, allowedWorkers} = options;
	const step = stepOf(activeJob, part);
	const estimateMs = runMsOf(part.step);
	part.waitingSinceMs ??= nowMs;
	const slackMs = slackOf(expectation, part, options);
	const objectiveSlackMs = objectiveMs - ageOf(activeJob, part, {nowMs, wallClockMs}) - estimateMs;
	return {
		id: partIdOf(activeJob, part),
		kind: kindOf(activeJob, part),
		stepId: stepIdOf(activeJob, part),
		service: activeJob.job.service,
		customer: activeJob.job.customer,
		members: part.indexes.length,
		need: needOf(activeJob, part),
		priority: activeJob.job.priority,
		isGuaranteed,
		workCoreMs: estimateMs * coreEquivalentsOf(step) * part.indexes.length,
		slackMs,
		maxRunFactor: step.longRunning ? Number.POSITIVE_INFINITY : maxRunFactorOf(estimateMs, objectiveSlackMs),
		sameRack: step.sameRack,
		requiredLabel: step.requiredLabel,
		dataRack: step.dataRack,
		maxPerWorker: step.maxPerWorker,
		isLongRunning: step.longRunning,
		isBestEffort: step.usesLeftover,
		avoidedWorkers: part.avoided,
		crashSuspicion: isStrongCrashSuspect(part) ? 'strong' : isCrashSuspect(part) ? 'weak' : 'none',
		isLastAttempt: part.failures > 0 && part.failures >= activeJob.job.attempts - 1,
		allowedWorkers: activeJob.job.advice && allowedWorkers(stepIdOf(activeJob, part)),
		estimateMs,
		waitedMs: nowMs - part.waitingSinceMs,
		rank:
			state.policy.rank({
				priority: activeJob.job.priority,
				objectiveMs,
				ageMs: ageOf(activeJob, part, {nowMs, wallClockMs}),
				slackMs,
				isLongRunning: step.longRunning,
			}) - (isGuaranteed ? GUARANTEED_RANK_OFFSET : 0),
	};
};

/** Accelerators that the initial steps of a job need at the same time, which count against its customer's guarantee. */
const acceleratorDemand = (activeJob: ActiveJob): number => {
	const first = activeJob.job.steps.filter(({after}) => after.length === 0);
	return first.reduce((sum, {count, accelerators}) => sum + count * accelerators, 0);
};

/** Urgent jobs within their customers' guarantees; the oldest jobs come first. */
const guaranteedJobs = ({state, declarations}: PlanViewOptions): ReadonlySet<ActiveJob> => {
	const remaining = new Map(
		(declarations?.customers ?? []).map(({name, guaranteedAccelerators}) => [name, guaranteedAccelerators]),
	);
	const urgent = [...state.activeJobs.values()]
		.filter(({job, outcome}) => job.priority === 0 && !outcome)
		.toSorted((a, b) => a.job.acceptedMs - b.job.acceptedMs);
	const covered = new Set<ActiveJob>();
	for (const activeJob of urgent) {
		const available = remaining.get(activeJob.job.customer) ?? 0;
		const need = acceleratorDemand(activeJob);
		if (need <= available) {
			remaining.set(activeJob.job.customer, available - need);
			covered.add(activeJob);
		}
	}

	return covered;
};

/** Slow-downs between kinds of work; `undefined` if there are none or they do not count. */
const slowdownsOf = ({policy, interference}: LeaderState, nowMs: number): PlanView['slowdownOf'] => {
	if (policy.interference !== 'avoided') {
		return undefined;
	}

	const effects = interference.harmfulEffects(nowMs);
	return effects.size > 0 ? (kind, neighbour) => effects.get(kind)?.get(neighbour) ?? 0 : undefined;
};

/**
Creates a snapshot of the workers and the pending parts for one planning pass.

@example
```ts
const {starts, evictions} = plan(createPlanView({state, declarations, bounds, nowMs, wallClockMs, isOrderable, isBlocked, isContended, allowedWorkers}));
```
*/
export const createPlanView = (options: PlanViewOptions): PlanView => {
	const {state, bounds, nowMs, isBlocked} = options;
	const parts: PlanPart[] = [];
	const units = new Map<string, number>();
	const trials = new Map<string, number>();
	const covered = guaranteedJobs(options);
	for (const activeJob of state.activeJobs.values()) {
		for (const part of activeJob.parts.values()) {
			if (isCrashSuspect(part) && runsAlone(state, part)) {
				const {customer} = activeJob.job;
				trials.set(customer, (trials.get(customer) ?? 0) + 1);
			}

			for (const {workerId} of part.placements) {
				const key = `${stepIdOf(activeJob, part)} ${workerId}`;
				units.set(key, (units.get(key) ?? 0) + 1);
			}
		}

		const ready = readyParts(activeJob).filter(
			(part) => !isBlocked(activeJob, part) && part.pausedUntilMs <= options.nowMs,
		);
		if (ready.length > 0) {
			const expectation: Expectation = {
				activeJob,
				isGuaranteed: covered.has(activeJob),
				objectiveMs: expectedObjectiveMs(state, activeJob),
				runMsOf: createRunMsOf(state, activeJob),
			};
			parts.push(...ready.map((part) => viewPart(expectation, part, options)));
		}
	}

	return {
		workers: viewWorkers(options, covered),
		parts,
		trials,
		held: options.held,
		unitsOnWorker: (stepId, workerId) => units.get(`${stepId} ${workerId}`) ?? 0,
		slowdownOf: slowdownsOf(state, nowMs),
		nowMs,
		remoteFactor: bounds.remoteFactor,
		policy: state.policy.plan,
	};
};
