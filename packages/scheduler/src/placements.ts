import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {nextRun, unitNameOf, type ActiveJob, type Part, type Placement} from './active-job.js';
import {LATE_ORDER_MS} from './constants.js';
import {
	allPlacedUnits,
	coreEquivalentsOf,
	hasCapacity,
	indexPart,
	type LeaderState,
	type PlacedUnit,
} from './leader-state.js';
import {isCrashSuspect} from './crash-evidence.js';
import {isInEvacuatedZone} from './evacuation/evacuated-zones.js';
import {startSpreadMs} from './gangs.js';
import {createCrashRecorder} from './crash-recorder.js';
import {createLateStarts} from './late-starts.js';
import {createPlacementStops} from './placement-stops.js';
import {createPlacementReports, type PlacementReports} from './placement-reports.js';
import {createPlacementThrottle} from './placement-throttle.js';
import {openWindow} from './progress-window.js';
import type {Bounds, StartRefusal} from './types.js';
import type {StartWindow} from './start-window.js';
import type {ViewAges} from './view-ages.js';
import type {WorkerEnd, WorkerLink} from './worker-link-types.js';
import type {OrderResult} from './worker-orders.js';

export type PlacementsOptions = Readonly<{
	state: LeaderState;
	ages: ViewAges;
	/** Whether the views are recent enough for starts. */
	mayStart: () => boolean;
	startWindow: StartWindow;
	term: number;
	bounds: Bounds;
	log: Log;
	metrics: Metrics;
	now: () => number;
	signal: AbortSignal;
	/** Called when capacity may have been freed or a part is pending again. */
	onCapacityFreed: () => void;
	onRefused: (placed: PlacedUnit, reason: StartRefusal) => void;
	/** Resolves to whether the changes of the job are stored. */
	store: (activeJob: ActiveJob) => Promise<boolean>;
	/** Schedules a write of the changes of the job. */
	storeLater: (activeJob: ActiveJob) => void;
	/** Ticket of the advice service for the part on the worker; `undefined` if none is needed. */
	ticketOf: (activeJob: ActiveJob, part: Part, workerId: string) => string | undefined;
}>;

/** Starts and stops units and tracks their placements. */
export type Placements = PlacementReports &
	Readonly<{
		start: (activeJob: ActiveJob, part: Part, workerIds: readonly string[]) => void;
		/** Stops all units of a part. */
		stop: (activeJob: ActiveJob, part: Part, reason: string) => void;
		/** Throttles a unit to a share of its CPU, in percent. */
		throttle: (activeJob: ActiveJob, part: Part, placement: Placement, percent: number) => void;
		/** Removes the placements of a worker whose incarnation or lease has ended. Returns the jobs that have changed. */
		removeWorker: (link: WorkerLink, end: WorkerEnd) => ReadonlySet<ActiveJob>;
		/** Stops what may have been started on the incarnation of the link by orders to an earlier one. */
		stopLateStarts: (link: WorkerLink) => void;
	}>;

/**
Creates the placements of a term.

@example
```ts
const placements = createPlacements({state, ages, mayStart, startWindow, term: 3, bounds, log, metrics, now, signal, onCapacityFreed, onRefused, store, storeLater, ticketOf});
placements.start(activeJob, part, ['i-1']);
```
*/
export const createPlacements = (options: PlacementsOptions): Placements => {
	const {
		state,
		ages,
		mayStart,
		startWindow,
		term,
		bounds,
		log,
		metrics,
		now,
		signal,
		onCapacityFreed,
		onRefused,
		ticketOf,
		store,
		storeLater,
	} = options;
	const lateStarts = createLateStarts({state, now, signal});
	const recordWorkerCrash = createCrashRecorder({state, log, metrics, now});

	const removePlacement = (activeJob: ActiveJob, part: Part, placement: Placement) => {
		part.placements = part.placements.filter((other) => other !== placement);
		if (part.trialRun === placement.run && part.placements.length === 0) {
			part.trialRun = 0;
			activeJob.changes += 1;
			storeLater(activeJob);
		}

		if (part.placements.length === 0) {
			part.waitingSinceMs = undefined;
		}

		onCapacityFreed();
	};

	const {stop, stopPlacement} = createPlacementStops({state, bounds, log, metrics, now, signal, removePlacement});

	const observeGangStart = (part: Part) => {
		const spreadMs = startSpreadMs(part);
		if (spreadMs !== undefined) {
			metrics.observe('gang_start_spread_milliseconds', spreadMs);
		}
	};

	const handleStartResult = (activeJob: ActiveJob, part: Part, placement: Placement, result: OrderResult) => {
		const unit = unitNameOf(activeJob, part, placement.index);
		if (result.outcome === 'unknown' || (result.outcome === 'accepted' && result.isUncertain)) {
			placement.isStartUncertain = true;
			lateStarts.record(placement.workerId, {unit, run: placement.run});
		}

		if (!part.placements.includes(placement)) {
			return;
		}

		metrics.count('unit_starts_total', {
			outcome: result.outcome === 'refused' ? result.reason : result.outcome,
			class: String(activeJob.job.priority),
		});
		// A report may have listed the run although the responses to its start were lost.
		if (result.outcome === 'accepted' || placement.acceptedMs !== undefined) {
			placement.acceptedMs ??= now();
			if (placement.phase === 'starting') {
				placement.phase = 'running';
				observeGangStart(part);
			}

			if (!activeJob.hasBegun) {
				activeJob.hasBegun = true;
				activeJob.changes += 1;
				storeLater(activeJob);
			}

			return;
		}

		const refusal = result.outcome === 'refused' ? result.reason : result.refusal;
		log.info('unit-start-failed', {
			unit,
			run: placement.run,
			worker: placement.workerId,
			reason: refusal ?? 'no-answer',
			mayHaveRun: result.outcome === 'unknown',
			isZoneEvacuated: isInEvacuatedZone(state, placement.workerId) || undefined,
		});
		if (refusal && refusal !== 'withdrawn') {
			onRefused({activeJob, part, placement}, refusal);
		}

		if (result.outcome === 'refused') {
			removePlacement(activeJob, part, placement);
			// A gang makes no progress without all of its members.
			stop(activeJob, part, 'gang-incomplete');
		} else {
			// All attempts have recorded their leases, and the worker refuses a start whose lease has expired.
			placement.startExpiryMs = state.links.get(placement.workerId)?.expiryMs();
			stop(activeJob, part, 'start-unanswered');
		}
	};

	/** Whether the run may be on the next incarnation of its worker, or may still be started there. */
	const mayReachSuccessor = (link: WorkerLink, placement: Placement): boolean =>
		placement.isStartUncertain || placement.acceptedMs === undefined || placement.acceptedMs > link.confirmedMs();

	/** Keeps the placement of a run until the next incarnation of its worker has accepted a stop of it, and so refuses a late start. */
	const holdPlacement = (activeJob: ActiveJob, part: Part, placement: Placement) => {
		placement.phase = 'stopping';
		placement.acceptedMs = undefined;
		placement.stopAcceptedMs = undefined;
		placement.startExpiryMs = undefined;
		placement.heldUntilMs = now() + LATE_ORDER_MS;
		void stopPlacement(activeJob, part, placement);
	};

	const throttle = createPlacementThrottle({state, log, now, signal});
	const {reconcile, updateProgress} = createPlacementReports({
		state,
		bounds,
		log,
		now,
		signal,
		stop,
		removePlacement,
		storeLater,
	});

	return {
		stop,
		reconcile,
		updateProgress,
		throttle(activeJob, part, placement, percent) {
			void throttle(activeJob, part, placement, percent);
		},
		start(activeJob, part, workerIds) {
			const runNumber = nextRun(part, term);
			part.orderedRun = runNumber;
			part.placements = workerIds.map((workerId, position) => ({
				workerId,
				index: part.indexes[position]!,
				run: runNumber,
				phase: 'starting',
				startedMs: now(),
				acceptedMs: undefined,
				stopAcceptedMs: undefined,
				isStartUncertain: false,
				heldUntilMs: undefined,
				startExpiryMs: undefined,
				missedReports: 0,
				percent: 0,
				isFullRun: part.checkpoint === '',
				progressMs: now(),
				reportedMs: now(),
				window: part.checkpoint === '' ? openWindow({atMs: now(), percent: 0}) : undefined,
				recentFigure: undefined,
				throttlePercent: 100,
				throttleDoubtUntilMs: 0,
				isSpeedCounted: false,
			}));
			log.info('part-start', {
				job: activeJob.job.id,
				part: part.key,
				run: runNumber,
				workers: workerIds.join(','),
				resumed: part.checkpoint !== '',
				waitedMs: Math.round(now() - (part.waitingSinceMs ?? now())),
				...ages.fields(),
			});
			indexPart(state, {activeJob, part});
			metrics.observe('start_view_age_milliseconds', ages.jobs.ageMs(), {view: 'jobs'});
			metrics.observe('start_view_age_milliseconds', ages.workers.ageMs(), {view: 'workers'});
			const {checkpoint} = part;
			let stored: Promise<boolean> | undefined;
			if (isCrashSuspect(part)) {
				part.trialRun = runNumber;
				activeJob.changes += 1;
				stored = store(activeJob);
			}

			for (const placement of part.placements) {
				const link = state.links.get(placement.workerId);
				const unit = unitNameOf(activeJob, part, placement.index);
				const settle = startWindow.open();
				void (async () => {
					const order = {
						unit,
						run: runNumber,
						spec: activeJob.job.spec,
						checkpoint,
						ticket: ticketOf(activeJob, part, placement.workerId),
					};
					const isWanted = () =>
						placement.phase === 'starting' &&
						part.placements.includes(placement) &&
						mayStart() &&
						hasCapacity(state, placement.workerId) &&
						!isInEvacuatedZone(state, placement.workerId);
					if (stored && !(await stored)) {
						settle();
						handleStartResult(activeJob, part, placement, {outcome: 'refused', reason: 'withdrawn'});
						return;
					}

					const result: OrderResult = link
						? await link.start(order, isWanted)
						: {outcome: 'refused', reason: 'other-life'};
					settle();
					handleStartResult(activeJob, part, placement, result);
				})();
			}
		},
		stopLateStarts: lateStarts.stop,
		removeWorker(link, workerEnd) {
			const {reason, successorMs} = workerEnd;
			const workerId = link.worker.id;
			const endedMs = link.silentSinceMs() ?? now();
			const changed = recordWorkerCrash(link, workerEnd);
			state.orphanedRuns.delete(workerId);
			state.orderedWorkers.delete(workerId);
			for (const {activeJob, part, placement} of allPlacedUnits(state)) {
				if (placement.workerId === workerId) {
					log.info('unit-lost', {
						unit: unitNameOf(activeJob, part, placement.index),
						run: placement.run,
						worker: workerId,
						reason,
						phase: placement.phase,
						ranMs: Math.round(endedMs - placement.startedMs),
					});
					metrics.count('units_lost_total', {reason});
					const hasSuccessor = successorMs !== undefined || reason === 'renumbered';
					if (hasSuccessor && mayReachSuccessor(link, placement)) {
						holdPlacement(activeJob, part, placement);
					} else {
						removePlacement(activeJob, part, placement);
					}

					stop(activeJob, part, 'gang-incomplete');
				}
			}

			return changed;
		},
	};
};
