import {parseUnitName} from '@bergamotgauge/jobs';
import type {Log} from '@bergamotgauge/telemetry';
import {hasEnded, partOf, unitNameOf, type ActiveJob, type Part, type Placement} from './active-job.js';
import {GANG_END_MS, STOP_SETTLE_MS} from './constants.js';
import {outlastsCrashes} from './crash-evidence.js';
import type {LeaderState, PlacedUnit} from './leader-state.js';
import {createOrphanedRuns} from './orphaned-runs.js';
import {extendWindow, openWindow} from './progress-window.js';
import type {Bounds, RunningUnit} from './types.js';
import type {ReportDetails, WorkerLink} from './worker-link-types.js';
import type {OrderTarget} from './worker-orders.js';

export type PlacementReportsOptions = Readonly<{
	state: LeaderState;
	bounds: Bounds;
	log: Log;
	now: () => number;
	signal: AbortSignal;
	/** Stops the units of a part, or those that are affected. */
	stop: (activeJob: ActiveJob, part: Part, reason: string, isAffected?: (placement: Placement) => boolean) => void;
	removePlacement: (activeJob: ActiveJob, part: Part, placement: Placement) => void;
	/** Schedules a write of the changes of the job. */
	storeLater: (activeJob: ActiveJob) => void;
}>;

/** Reconciles placements with what workers report. */
export type PlacementReports = Readonly<{
	/** Reconciles the placements with a full report of a worker. */
	reconcile: (link: WorkerLink, running: readonly RunningUnit[], details: ReportDetails) => void;
	/** Updates the progress of listed runs, and removes the placements of stopped ones that are not listed any more. */
	updateProgress: (link: WorkerLink, running: readonly RunningUnit[], details: ReportDetails) => void;
}>;

/** A unit of an active job. */
type KnownUnit = Readonly<{activeJob: ActiveJob; part: Part; index: number}>;

const isPlacementOf = (placement: Placement, workerId: string, index: number, run: number): boolean =>
	placement.workerId === workerId && placement.index === index && placement.run === run;

/**
Creates the handler of reports for the placements of a term.

@example
```ts
const reports = createPlacementReports({state, bounds, log, now, signal, stop, removePlacement});
reports.reconcile(link, report.running, {sentMs, composedMs});
```
*/
export const createPlacementReports = (options: PlacementReportsOptions): PlacementReports => {
	const {state, bounds, log, now, signal, stop, removePlacement, storeLater} = options;
	const orphanedRuns = createOrphanedRuns({state, log, signal});

	const adoptRun = (
		{activeJob, part}: Omit<PlacedUnit, 'placement'>,
		runningUnit: RunningUnit,
		workerId: string,
		index: number,
	) => {
		const adoptedMs = now();
		const newest = Math.max(runningUnit.run, ...part.placements.map((placement) => placement.run));
		log.info('run-adopted', {
			unit: runningUnit.unit,
			run: runningUnit.run,
			worker: workerId,
			others: part.placements.map((placement) => `${placement.run}@${placement.workerId}`).join(','),
		});
		part.placements.push({
			workerId,
			index,
			run: runningUnit.run,
			phase: 'running',
			startedMs: adoptedMs,
			acceptedMs: adoptedMs,
			stopAcceptedMs: undefined,
			isStartUncertain: false,
			heldUntilMs: undefined,
			startExpiryMs: undefined,
			missedReports: 0,
			percent: runningUnit.percent,
			isFullRun: false,
			progressMs: adoptedMs,
			reportedMs: adoptedMs,
			window: openWindow({atMs: adoptedMs, percent: runningUnit.percent}),
			recentFigure: runningUnit.recentFigure,
			// An earlier leader may have throttled the unit.
			throttlePercent: undefined,
			throttleDoubtUntilMs: 0,
			isSpeedCounted: false,
		});
		part.orderedRun = Math.max(part.orderedRun, runningUnit.run);
		activeJob.hasBegun = true;
		stop(activeJob, part, 'older-run', (placement) => placement.run !== newest);
	};

	const updatePlacement = (
		{activeJob, part, placement}: PlacedUnit,
		runningUnit: RunningUnit,
		{composedMs}: ReportDetails,
	) => {
		if (outlastsCrashes(part, now() - placement.startedMs)) {
			log.info('crash-outlasted', {unit: runningUnit.unit, run: runningUnit.run, crashes: part.crashes.length});
			part.crashes = [];
			part.trialRun = 0;
			activeJob.changes += 1;
			storeLater(activeJob);
		}

		placement.acceptedMs ??= now();
		placement.missedReports = 0;
		// Reports on different connections overtake each other, and this process may read them late.
		if (composedMs >= placement.reportedMs) {
			const point = {atMs: composedMs, percent: runningUnit.percent};
			placement.window = placement.window ? extendWindow(placement.window, point) : openWindow(point);
			placement.reportedMs = composedMs;
			placement.recentFigure = runningUnit.recentFigure;
			if (runningUnit.percent !== placement.percent) {
				placement.percent = runningUnit.percent;
				placement.progressMs = composedMs;
			}
		}

		if (runningUnit.checkpoint && placement.run >= part.orderedRun) {
			part.checkpoint = runningUnit.checkpoint;
		}
	};

	/** The part of a run and its index; `undefined` for a run that belongs to no active job. */
	const findPart = ({unit}: RunningUnit): KnownUnit | undefined => {
		const name = parseUnitName(unit);
		const activeJob = name && state.activeJobs.get(name.jobId);
		const part = activeJob && partOf(activeJob, name.occurrence, name.step, name.index);
		return part && {activeJob, part, index: name.index};
	};

	/** Returns the placement of a run, or `undefined` for one that has ended. */
	const reconcileUnit = (
		link: WorkerLink,
		runningUnit: RunningUnit,
		{activeJob, part, index}: KnownUnit,
		details: ReportDetails,
	): Placement | undefined => {
		const workerId = link.worker.id;
		// A report that was composed before the end of the run may arrive after the one that lists the end.
		if (hasEnded(part, {workerId, startedMs: link.startedMs(), index, run: runningUnit.run})) {
			return undefined;
		}

		if (!part.placements.some((placement) => isPlacementOf(placement, workerId, index, runningUnit.run))) {
			adoptRun({activeJob, part}, runningUnit, workerId, index);
		}

		const placement = part.placements.find((other) => isPlacementOf(other, workerId, index, runningUnit.run));
		if (placement) {
			updatePlacement({activeJob, part, placement}, runningUnit, details);
		}

		// The other members of a gang finish by themselves shortly after the first one.
		const hasJustEnded = part.isDone && Date.now() - (part.doneMs ?? 0) < GANG_END_MS;
		if (
			(part.isDone && !hasJustEnded) ||
			(!part.isDone && (activeJob.outcome !== undefined || activeJob.isCancelled))
		) {
			stop(activeJob, part, activeJob.isCancelled ? 'cancelled' : 'not-needed');
		}

		return placement;
	};

	/** Whether a report that was sent at the time and does not list the run proves that it has ended, since its stop was accepted. */
	const isStopComplete = ({stopAcceptedMs}: Placement, {sentMs}: ReportDetails): boolean =>
		stopAcceptedMs !== undefined && sentMs >= stopAcceptedMs + bounds.stopMs + STOP_SETTLE_MS;

	/** Handles a placement that a report of the worker does not list, while it lists all ends. */
	const handleMissing = ({activeJob, part, placement}: PlacedUnit, details: ReportDetails) => {
		if (placement.stopAcceptedMs !== undefined) {
			if (isStopComplete(placement, details)) {
				removePlacement(activeJob, part, placement);
			}

			return;
		}

		const mustBeListedMs = placement.acceptedMs ?? placement.startExpiryMs;
		if (mustBeListedMs !== undefined && details.sentMs > mustBeListedMs) {
			placement.missedReports += 1;
			// Reports on different connections overtake each other, so the end may be in one that is read later.
			if (placement.missedReports > 2) {
				log.warn('unit-vanished', {part: part.key, run: placement.run, worker: placement.workerId});
				removePlacement(activeJob, part, placement);
			}
		}
	};

	return {
		updateProgress(link, running, details) {
			for (const {activeJob, part, placement} of state.placementIndex.byWorker.get(link.worker.id) ?? []) {
				const unit = unitNameOf(activeJob, part, placement.index);
				const runningUnit = running.find((listedUnit) => listedUnit.unit === unit && listedUnit.run === placement.run);
				if (!part.placements.includes(placement)) {
					continue;
				}

				if (runningUnit) {
					updatePlacement({activeJob, part, placement}, runningUnit, details);
				} else if (details.listsAllEnds && isStopComplete(placement, details)) {
					removePlacement(activeJob, part, placement);
				}
			}
		},
		reconcile(link, running, details) {
			const listed = new Set<Placement>();
			const orphans: OrderTarget[] = [];
			for (const runningUnit of running) {
				const known = findPart(runningUnit);
				if (!known) {
					orphans.push({unit: runningUnit.unit, run: runningUnit.run});
					continue;
				}

				const placement = reconcileUnit(link, runningUnit, known, details);
				if (placement) {
					listed.add(placement);
				}
			}

			orphanedRuns.reconcile(link, orphans);
			if (!details.listsAllEnds) {
				return;
			}

			for (const placed of state.placementIndex.byWorker.get(link.worker.id) ?? []) {
				if (!listed.has(placed.placement) && placed.part.placements.includes(placed.placement)) {
					handleMissing(placed, details);
				}
			}
		},
	};
};
