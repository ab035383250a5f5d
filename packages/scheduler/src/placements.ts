import {formatUnitName, parseUnitName} from '@bergamotgauge/jobs';
import {sleep} from '@bergamotgauge/lifecycle';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {GANG_END_MS, LATE_ORDER_MS, STOP_RETRY_MS, STOP_SETTLE_MS, THROTTLE_REPEAT_MS} from './constants.js';
import {hasEnded, nextRun, partOf, stepOf, type ActiveJob, type Part, type Placement} from './active-job.js';
import {createOrphanedRuns} from './orphaned-runs.js';
import {extendWindow, openWindow} from './progress-window.js';
import {allPlacedUnits, coreEquivalentsOf, type LeaderState, type PlacedUnit} from './leader-state.js';
import type {Bounds, RunningUnit, StartRefusal} from './types.js';
import type {WorkerLink} from './worker-link.js';
import type {OrderResult, OrderTarget} from './worker-orders.js';

export type PlacementsOptions = Readonly<{
	state: LeaderState;
	term: number;
	bounds: Bounds;
	log: Log;
	metrics: Metrics;
	now: () => number;
	signal: AbortSignal;
	/** Called when capacity may have been freed or a part is pending again. */
	onCapacityFreed: () => void;
	/** Called when the first unit of a job has started. */
	onBegun: (activeJob: ActiveJob) => void;
	onRefused: (placed: PlacedUnit, reason: StartRefusal) => void;
	/** Ticket of the advice service for the part on the worker; `undefined` if none is needed. */
	ticketOf: (activeJob: ActiveJob, part: Part, workerId: string) => string | undefined;
}>;

/** Starts and stops units and tracks their placements. */
export type Placements = Readonly<{
	start: (activeJob: ActiveJob, part: Part, workerIds: readonly string[]) => void;
	/** Stops all units of a part. */
	stop: (activeJob: ActiveJob, part: Part, reason: string) => void;
	/** Throttles a unit to a share of its CPU, in percent. */
	throttle: (activeJob: ActiveJob, part: Part, placement: Placement, percent: number) => void;
	/** Reconciles the placements with a full report of a worker. */
	reconcile: (link: WorkerLink, running: readonly RunningUnit[], sentMs: number) => void;
	/** Updates the progress of listed runs, and removes the placements of stopped ones that are not listed any more. */
	updateProgress: (link: WorkerLink, running: readonly RunningUnit[], sentMs: number) => void;
	/** Removes the placements of a worker whose incarnation or lease has ended. */
	removeWorker: (workerId: string) => void;
}>;

/** A unit of an active job. */
type KnownUnit = Readonly<{activeJob: ActiveJob; part: Part; index: number}>;

const isPlacementOf = (placement: Placement, workerId: string, index: number, run: number): boolean =>
	placement.workerId === workerId && placement.index === index && placement.run === run;

/**
Creates the placements of a term.

@example
```ts
const placements = createPlacements({state, term: 3, bounds, log, metrics, now, signal, onCapacityFreed, onBegun, onRefused, ticketOf});
placements.start(activeJob, part, ['i-1']);
```
*/
export const createPlacements = (options: PlacementsOptions): Placements => {
	const {state, term, bounds, log, metrics, now, signal, onCapacityFreed, onBegun, onRefused, ticketOf} = options;

	const orphanedRuns = createOrphanedRuns({state, log, signal});

	const unitOf = (activeJob: ActiveJob, part: Part, index: number): string =>
		formatUnitName({jobId: activeJob.job.id, occurrence: part.occurrence, step: part.step, index});

	const removePlacement = (part: Part, placement: Placement) => {
		part.placements = part.placements.filter((other) => other !== placement);
		if (part.placements.length === 0) {
			part.waitingSinceMs = undefined;
		}

		onCapacityFreed();
	};

	/**
	Retries the stop until the worker has accepted it or is gone. The reported end, or a report without the run, then removes the placement.
	*/
	const stopPlacement = async (activeJob: ActiveJob, part: Part, placement: Placement) => {
		const unit = unitOf(activeJob, part, placement.index);
		while (!signal.aborted && part.placements.includes(placement)) {
			const link = state.links.get(placement.workerId);
			if (!link || link.state() === 'gone') {
				return;
			}

			if (await link.stop(unit, placement.run)) {
				placement.stopAcceptedMs ??= now();
				link.wake();
				await sleep(bounds.stopMs + STOP_SETTLE_MS, signal);
				// The report with the end may be lost, and the next one comes seconds later.
				if (part.placements.includes(placement)) {
					await link.pollProgress();
				}

				return;
			}

			await sleep(STOP_RETRY_MS, signal);
		}
	};

	const lostCoreSeconds = (activeJob: ActiveJob, part: Part, placement: Placement): number => {
		const step = stepOf(activeJob, part);
		return step.checkpoints ? 0 : Math.round((coreEquivalentsOf(step) * (now() - placement.startedMs)) / 1000);
	};

	const stop = (
		activeJob: ActiveJob,
		part: Part,
		reason: string,
		isAffected: (placement: Placement) => boolean = () => true,
	) => {
		for (const placement of part.placements) {
			if (placement.phase !== 'stopping' && isAffected(placement)) {
				placement.phase = 'stopping';
				log.info('unit-stop', {
					unit: unitOf(activeJob, part, placement.index),
					run: placement.run,
					worker: placement.workerId,
					reason,
					ranMs: Math.round(now() - placement.startedMs),
					unsavedCoreS: lostCoreSeconds(activeJob, part, placement),
				});
				metrics.count('unit_stops_total', {reason});
				void stopPlacement(activeJob, part, placement);
			}
		}
	};

	const handleStartResult = (activeJob: ActiveJob, part: Part, placement: Placement, result: OrderResult) => {
		if (!part.placements.includes(placement)) {
			return;
		}

		const unit = unitOf(activeJob, part, placement.index);
		metrics.count('unit_starts_total', {
			outcome: result.outcome === 'refused' ? result.reason : result.outcome,
			class: String(activeJob.job.priority),
		});
		// A report may have listed the run although the responses to its start were lost.
		if (result.outcome === 'accepted' || placement.acceptedMs !== undefined) {
			placement.acceptedMs ??= now();
			if (placement.phase === 'starting') {
				placement.phase = 'running';
			}

			if (!activeJob.hasBegun) {
				activeJob.hasBegun = true;
				activeJob.changes += 1;
				onBegun(activeJob);
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
		});
		if (refusal && refusal !== 'withdrawn') {
			onRefused({activeJob, part, placement}, refusal);
		}

		if (result.outcome === 'refused') {
			removePlacement(part, placement);
			// A gang makes no progress without all of its members.
			stop(activeJob, part, 'gang-incomplete');
		} else {
			// All attempts have recorded their leases, and the worker refuses a start whose lease has expired.
			placement.startExpiryMs = state.links.get(placement.workerId)?.expiryMs();
			stop(activeJob, part, 'start-unanswered');
		}
	};

	const adoptRun = (
		{activeJob, part}: Omit<PlacedUnit, 'placement'>,
		runningUnit: RunningUnit,
		workerId: string,
		index: number,
	) => {
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
			startedMs: now(),
			acceptedMs: now(),
			stopAcceptedMs: undefined,
			startExpiryMs: undefined,
			missedReports: 0,
			percent: runningUnit.percent,
			isFullRun: false,
			progressMs: now(),
			reportedMs: now(),
			window: openWindow({atMs: now(), percent: runningUnit.percent}),
			recentFigure: runningUnit.recentFigure,
			// An earlier leader may have throttled the unit.
			throttlePercent: undefined,
			throttleDoubtUntilMs: 0,
		});
		part.orderedRun = Math.max(part.orderedRun, runningUnit.run);
		activeJob.hasBegun = true;
		stop(activeJob, part, 'older-run', (placement) => placement.run !== newest);
	};

	const updatePlacement = (part: Part, placement: Placement, runningUnit: RunningUnit) => {
		placement.acceptedMs ??= now();
		placement.missedReports = 0;
		const point = {atMs: now(), percent: runningUnit.percent};
		placement.window = placement.window ? extendWindow(placement.window, point) : openWindow(point);
		placement.reportedMs = now();
		placement.recentFigure = runningUnit.recentFigure;
		if (runningUnit.percent !== placement.percent) {
			placement.percent = runningUnit.percent;
			placement.progressMs = now();
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
	): Placement | undefined => {
		const workerId = link.worker.id;
		// A report that was composed before the end of the run may arrive after the one that lists the end.
		if (hasEnded(part, {workerId, index, run: runningUnit.run})) {
			return undefined;
		}

		if (!part.placements.some((placement) => isPlacementOf(placement, workerId, index, runningUnit.run))) {
			adoptRun({activeJob, part}, runningUnit, workerId, index);
		}

		const placement = part.placements.find((other) => isPlacementOf(other, workerId, index, runningUnit.run));
		if (placement) {
			updatePlacement(part, placement, runningUnit);
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
	const isStopComplete = ({stopAcceptedMs}: Placement, sentMs: number): boolean =>
		stopAcceptedMs !== undefined && sentMs >= stopAcceptedMs + bounds.stopMs + STOP_SETTLE_MS;

	/** Handles a placement that a report of the worker does not list. */
	const handleMissing = (part: Part, placement: Placement, sentMs: number) => {
		if (placement.stopAcceptedMs !== undefined) {
			if (isStopComplete(placement, sentMs)) {
				removePlacement(part, placement);
			}

			return;
		}

		const mustBeListedMs = placement.acceptedMs ?? placement.startExpiryMs;
		if (mustBeListedMs !== undefined && sentMs > mustBeListedMs) {
			placement.missedReports += 1;
			// A long list of ends is split over several reports, so the end may still follow.
			if (placement.missedReports > 2) {
				log.warn('unit-vanished', {part: part.key, run: placement.run, worker: placement.workerId});
				removePlacement(part, placement);
			}
		}
	};

	const throttlePlacement = async (activeJob: ActiveJob, part: Part, placement: Placement, percent: number) => {
		const unit = unitOf(activeJob, part, placement.index);
		placement.throttlePercent = percent;
		// A repeat of this order must not replace a newer one.
		const isWanted = () => placement.throttlePercent === percent && part.placements.includes(placement);
		const result = await state.links.get(placement.workerId)?.throttle({unit, run: placement.run, percent}, isWanted);
		const isDone = result?.outcome === 'accepted';
		log.info('unit-pace', {unit, run: placement.run, worker: placement.workerId, percent, isDone});
		if (result?.outcome === 'unknown' || (isDone && result.isUncertain)) {
			const isRepeating = now() < placement.throttleDoubtUntilMs;
			placement.throttleDoubtUntilMs = now() + LATE_ORDER_MS;
			if (!isRepeating) {
				void repeatThrottle(activeJob, part, placement);
			}
		}

		if (!isDone && placement.throttlePercent === percent) {
			// The next pass sends the order again.
			placement.throttlePercent = undefined;
		}
	};

	/** Repeats the latest throttle while an older one without a response may still be carried out after it. */
	const repeatThrottle = async (activeJob: ActiveJob, part: Part, placement: Placement) => {
		while (now() < placement.throttleDoubtUntilMs) {
			await sleep(THROTTLE_REPEAT_MS, signal);
			if (signal.aborted || !part.placements.includes(placement)) {
				return;
			}

			if (placement.throttlePercent !== undefined) {
				await throttlePlacement(activeJob, part, placement, placement.throttlePercent);
			}
		}
	};

	return {
		stop,
		throttle(activeJob, part, placement, percent) {
			void throttlePlacement(activeJob, part, placement, percent);
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
			}));
			log.info('part-start', {
				job: activeJob.job.id,
				part: part.key,
				run: runNumber,
				workers: workerIds.join(','),
				resumed: part.checkpoint !== '',
				waitedMs: Math.round(now() - (part.waitingSinceMs ?? now())),
			});
			const {checkpoint} = part;
			for (const placement of part.placements) {
				const link = state.links.get(placement.workerId);
				const unit = unitOf(activeJob, part, placement.index);
				void (async () => {
					const order = {
						unit,
						run: runNumber,
						spec: activeJob.job.spec,
						checkpoint,
						ticket: ticketOf(activeJob, part, placement.workerId),
					};
					const isWanted = () => placement.phase === 'starting' && part.placements.includes(placement);
					const result: OrderResult = link
						? await link.start(order, isWanted)
						: {outcome: 'refused', reason: 'other-life'};
					handleStartResult(activeJob, part, placement, result);
				})();
			}
		},
		updateProgress(link, running, sentMs) {
			for (const {activeJob, part, placement} of state.placementIndex.byWorker.get(link.worker.id) ?? []) {
				const unit = unitOf(activeJob, part, placement.index);
				const runningUnit = running.find((listedUnit) => listedUnit.unit === unit && listedUnit.run === placement.run);
				if (!part.placements.includes(placement)) {
					continue;
				}

				if (runningUnit) {
					updatePlacement(part, placement, runningUnit);
				} else if (isStopComplete(placement, sentMs)) {
					removePlacement(part, placement);
				}
			}
		},
		reconcile(link, running, sentMs) {
			const listed = new Set<Placement>();
			const orphans: OrderTarget[] = [];
			for (const runningUnit of running) {
				const known = findPart(runningUnit);
				if (!known) {
					orphans.push({unit: runningUnit.unit, run: runningUnit.run});
					continue;
				}

				const placement = reconcileUnit(link, runningUnit, known);
				if (placement) {
					listed.add(placement);
				}
			}

			orphanedRuns.reconcile(link, orphans);
			for (const {part, placement} of state.placementIndex.byWorker.get(link.worker.id) ?? []) {
				if (!listed.has(placement) && part.placements.includes(placement)) {
					handleMissing(part, placement, sentMs);
				}
			}
		},
		removeWorker(workerId) {
			state.orphanedRuns.delete(workerId);
			for (const {activeJob, part, placement} of allPlacedUnits(state)) {
				if (placement.workerId === workerId) {
					log.info('unit-lost', {unit: unitOf(activeJob, part, placement.index), run: placement.run, worker: workerId});
					removePlacement(part, placement);
					stop(activeJob, part, 'gang-incomplete');
				}
			}
		},
	};
};
