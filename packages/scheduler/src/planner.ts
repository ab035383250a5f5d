import {EVACUATION_MARGIN_MS, GANG_PROGRESS_MS} from './constants.js';
import {protectedParts} from './disruption-budget.js';
import {pendingAdviceRequests} from './advice-requests.js';
import type {Advisor} from './advisor.js';
import {isInEvacuatedZone} from './evacuation/evacuated-zones.js';
import type {Term} from './election.js';
import {describeKeptApart} from './interference/kept-apart.js';
import {addDueOccurrences, stepOf, type ActiveJob, type Part} from './active-job.js';
import {settleParts} from './job-parts.js';
import {describeGang, gangStateOf} from './gangs.js';
import {expectedRunMs, partRunFactor, placedByWorker, workerHealthOf, type LeaderState} from './leader-state.js';
import {recordCrash} from './crash-evidence.js';
import {updateOutcome} from './job-outcome.js';
import {createThrottler} from './throttler.js';
import {createPlanReports, partDescriptionOf} from './plan-reports.js';
import {openWaitingUnits} from './open-units.js';
import {createPlanView, partIdOf, stepIdOf} from './plan-view.js';
import {expectedEndMs} from './run-forecast.js';
import {plan} from './plan/plan.js';
import type {Plan} from './plan/types.js';
import type {Placements} from './placements.js';
import {createReservations} from './reservation/reservations.js';
import {createSlowWorkers} from './slow-workers.js';
import type {StartWindow} from './start-window.js';
import type {SchedulerContext} from './types.js';
import {recordStall} from './worker-evidence.js';
import type {WorkerFleet} from './worker-fleet.js';

export type PlannerOptions = Readonly<{
	context: SchedulerContext;
	term: Term;
	state: LeaderState;
	fleet: WorkerFleet;
	placements: Placements;
	startWindow: StartWindow;
	/** `undefined` if the deployment has no advice service. */
	advisor: Advisor | undefined;
	/** Called when a crash has been recorded against a part of the job. */
	onCrashRecorded: (activeJob: ActiveJob) => void;
	now: () => number;
}>;

/** Decides which units start and stop, and orders the starts and stops. */
export type Planner = Readonly<{
	/** Sends the planned starts that were held back, as far as the window has room for them. */
	sendHeldBack: () => void;
	/** Runs one planning pass, without starts and evictions if the views are outdated. Returns the wall-clock time at which the next occurrence of a scheduled job is due. */
	pass: (areViewsRecent: boolean) => number;
}>;

/** The plan while starts are paused; evictions make room for starts, so they wait for them. */
const NO_STARTS = {starts: [], evictions: [], reservations: [], unplaceable: [], keptApart: []} as const;

/** Whether the final state of an ended job is stored and none of its units is placed any more. */
const isSettled = (activeJob: ActiveJob): boolean =>
	activeJob.storedChanges === activeJob.changes &&
	[...activeJob.parts.values()].every(({placements}) => placements.length === 0);

type PlannedStart = Readonly<{activeJob: ActiveJob; part: Part; workerIds: readonly string[]}>;

/** Whether the part may be started; its step was ready when the start was planned. */
const isPending = (activeJob: ActiveJob, part: Part): boolean =>
	activeJob.outcome === undefined && !activeJob.isCancelled && !part.isDone && part.placements.length === 0;

/** Whether a part of a reservation still waits to be started. */
const isWaiting = (entry: readonly [ActiveJob, Part] | undefined): boolean =>
	entry !== undefined && isPending(...entry);

/** Creates the planner of a term. */
export const createPlanner = (options: PlannerOptions): Planner => {
	const {context, term, state, fleet, placements, startWindow, advisor, onCrashRecorded, now} = options;
	const {metrics, bounds, declarations} = context;

	const slowWorkers = createSlowWorkers({state, placements, log: context.log, metrics, now});
	const throttler = createThrottler({state, placements, bounds, now});
	const reports = createPlanReports({log: context.log, metrics});
	const reservations = createReservations({log: context.log, metrics, now});
	/** Starts of the last pass that have not been sent, by rank. */
	let plannedStarts: PlannedStart[] = [];

	const stopStalled = (activeJob: ActiveJob, part: Part) => {
		if (part.placements.length === 0) {
			return;
		}

		const {longRunning, usesLeftover, estimateMs} = stepOf(activeJob, part);
		const stalled = state.policy.findStalled(part, {
			expectedMs: expectedRunMs(state, activeJob, part.step) * Math.max(1, partRunFactor(state, part)),
			estimateMs,
			isLongRunning: longRunning,
			isBestEffort: usesLeftover,
		});
		if (stalled && state.links.get(stalled.workerId)?.state() === 'synced') {
			recordStall(state, stalled.workerId, now());
			part.avoided = new Set([...part.avoided, stalled.workerId]);
			part.stalls += 1;
			placements.stop(activeJob, part, 'stalled');
		}
	};

	/** Stops units that would not finish on the worker by the deadline, so that they run elsewhere. */
	const evacuateWorker = (workerId: string, deadlineMs: number, reason: string, protectedNow: ReadonlySet<Part>) => {
		for (const placed of state.placementIndex.byWorker.get(workerId) ?? []) {
			const {activeJob, part, placement} = placed;
			if (
				placement.phase === 'running' &&
				!protectedNow.has(part) &&
				state.policy.mustMove(expectedEndMs(state, placed, now()), deadlineMs)
			) {
				placements.stop(activeJob, part, reason);
			}
		}
	};

	/** Evacuates draining workers, and workers whose machines are drained for maintenance. */
	const evacuate = () => {
		for (const worker of state.directory.values()) {
			const {drainDeadlineMs} = workerHealthOf(state, worker.id);
			if (worker.state === 'draining' && drainDeadlineMs !== undefined) {
				evacuateWorker(worker.id, Math.max(drainDeadlineMs, now()) - EVACUATION_MARGIN_MS, 'worker-leaves', new Set());
			}
		}

		const {deadlineByWorker} = state.maintenanceDrains;
		const protectedNow = deadlineByWorker.size > 0 ? protectedParts(state) : new Set<Part>();
		for (const [workerId, deadlineMs] of deadlineByWorker) {
			evacuateWorker(workerId, deadlineMs - EVACUATION_MARGIN_MS, 'upkeep', protectedNow);
		}
	};

	/** Whether a part of a job from an earlier term may still run on a worker that has not responded to this leader. */
	const isBlocked = (activeJob: ActiveJob, part: Part): boolean =>
		activeJob.jobRevision < term.leaderRevision && fleet.mayRunPart(partIdOf(activeJob, part));

	/**
	Stops members of a gang that wait for one that nobody starts: an earlier leader lost its term between their starts, or a placement was removed. The part is then started again as a whole.
	*/
	const stopIncompleteGang = (activeJob: ActiveJob, part: Part) => {
		const gangState = part.indexes.length > 1 ? gangStateOf(part, isBlocked(activeJob, part)) : 'whole';
		if (gangState === 'undecided') {
			for (const {workerId, startedMs} of part.placements) {
				if (now() - startedMs >= GANG_PROGRESS_MS) {
					void state.links.get(workerId)?.pollProgress();
				}
			}
		} else if (gangState === 'incomplete') {
			const run = Math.max(...part.placements.map((placement) => placement.run));
			context.log.info('gang-incomplete', {part: partIdOf(activeJob, part), run, ...describeGang(part, run)});
			placements.stop(activeJob, part, 'gang-incomplete');
		}
	};

	/** Counts a run that an earlier leader has ordered on trial and that no worker reports: it may have crashed its worker. */
	const recordLostTrial = (activeJob: ActiveJob, part: Part) => {
		if (part.trialRun === 0 || part.isDone || part.placements.length > 0 || isBlocked(activeJob, part)) {
			return;
		}

		const run = part.trialRun;
		recordCrash(part, {run, ranMs: 0, suspicion: 'possible'}, now());
		context.log.info('crash-suspected', {
			unit: partIdOf(activeJob, part),
			run,
			suspicion: 'possible',
			reason: 'trial-lost',
			crashes: part.crashes.length,
		});
		activeJob.changes += 1;
		updateOutcome(activeJob, Date.now());
		onCrashRecorded(activeJob);
	};

	/** Whether a planned start can still be sent, although things may have changed since the pass. */
	const isStillPossible = ({activeJob, part, workerIds}: PlannedStart): boolean =>
		isPending(activeJob, part) &&
		workerIds.every(
			(workerId) =>
				fleet.isOrderable(workerId) &&
				!state.maintenanceDrains.deadlineByWorker.has(workerId) &&
				!isInEvacuatedZone(state, workerId),
		);

	const sendHeldBack = () => {
		while (plannedStarts.length > 0 && startWindow.hasRoom(plannedStarts[0]!.workerIds.length)) {
			const planned = plannedStarts.shift()!;
			if (isStillPossible(planned)) {
				placements.start(planned.activeJob, planned.part, planned.workerIds);
			}
		}
	};

	/** The parts that run or may run; also gives the time of the next occurrence. */
	const collectParts = (): Readonly<{parts: ReadonlyMap<string, readonly [ActiveJob, Part]>; nextDueMs: number}> => {
		const parts = new Map<string, readonly [ActiveJob, Part]>();
		let nextDueMs = Number.POSITIVE_INFINITY;
		for (const [id, activeJob] of state.activeJobs) {
			if (activeJob.outcome !== undefined) {
				if (isSettled(activeJob)) {
					state.activeJobs.delete(id);
				}

				continue;
			}

			nextDueMs = Math.min(nextDueMs, addDueOccurrences(activeJob, Date.now()) ?? Number.POSITIVE_INFINITY);
			settleParts(activeJob);
			for (const part of activeJob.parts.values()) {
				stopStalled(activeJob, part);
				stopIncompleteGang(activeJob, part);
				recordLostTrial(activeJob, part);
				parts.set(partIdOf(activeJob, part), [activeJob, part]);
			}
		}

		return {parts, nextDueMs};
	};

	return {
		sendHeldBack,
		pass(areViewsRecent) {
			const startedMs = performance.now();
			const hasMoreUnits = openWaitingUnits(state.activeJobs.values());
			const {parts, nextDueMs} = collectParts();
			state.placementIndex.byWorker = placedByWorker(state);
			evacuate();
			slowWorkers.pass();
			reservations.prune(
				(partId) => isWaiting(parts.get(partId)),
				(partId) => (parts.get(partId)?.[1].placements.length ?? 0) > 0,
			);
			const view = createPlanView({
				state,
				declarations: declarations(),
				bounds,
				nowMs: now(),
				wallClockMs: Date.now(),
				isOrderable: fleet.isOrderable,
				isBlocked,
				held: reservations.held(),
				isContended: throttler.isContended,
				allowedWorkers: (stepId) => advisor?.allowedWorkers(stepId) ?? new Set(),
			});
			state.latestView.view = view;
			advisor?.setRequests(pendingAdviceRequests(view, (partId) => parts.get(partId)?.[0].job.advice));
			const planned: Plan = areViewsRecent ? plan(view) : {...NO_STARTS, held: reservations.held(), released: []};
			reservations.update(planned);
			const {starts, evictions, keptApart} = planned;
			if (areViewsRecent) {
				reports.reportKeptApart(describeKeptApart(state, {keptApart, parts, nowMs: now()}));
				reports.reportWaiting(planned, (partId) => partDescriptionOf(...parts.get(partId)!));
			}

			// Those of the last pass that were held back are planned again, so that more urgent work may come before them.
			plannedStarts = starts.map(({partId, workerIds}) => {
				const [activeJob, part] = parts.get(partId)!;
				return {activeJob, part, workerIds};
			});
			sendHeldBack();
			reports.reportHeldBack(plannedStarts.length, startWindow.size());

			for (const {partId, forPartId} of evictions) {
				const victim = parts.get(partId);
				if (!victim) {
					continue;
				}

				const [activeJob, part] = victim;
				placements.stop(activeJob, part, `evicted-for-${forPartId.split('.')[0]}`);
			}

			state.placementIndex.byWorker = placedByWorker(state);
			fleet.setShared(throttler.pass());
			fleet.setInUse(new Set(state.placementIndex.byWorker.keys()));
			metrics.gauge('parts_waiting', view.parts.length - starts.length + plannedStarts.length);
			metrics.observe('plan_milliseconds', performance.now() - startedMs);
			// The next units of a large job are opened once these are sent.
			return hasMoreUnits && starts.length > 0 && plannedStarts.length === 0 ? Date.now() : nextDueMs;
		},
	};
};
