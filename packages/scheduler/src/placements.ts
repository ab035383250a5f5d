import {formatUnitName, parseUnitName} from '@bergamotgauge/jobs';
import {sleep} from '@bergamotgauge/lifecycle';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {GANG_END_MS, STOP_RETRY_MS, STOP_SETTLE_MS} from './constants.js';
import {nextRun, partOf, stepOf, type JobRun, type Part, type Placement} from './job-run.js';
import {extendWindow, openWindow} from './progress-window.js';
import {allPlaced, coresOf, type LeaderState, type Placed} from './leader-state.js';
import type {Bounds, RunningUnit} from './types.js';
import type {StartResult, WorkerLink} from './worker-link.js';

export type PlacementsOptions = Readonly<{
	state: LeaderState;
	term: number;
	bounds: Bounds;
	log: Log;
	metrics: Metrics;
	now: () => number;
	signal: AbortSignal;
	/** Called when room may have become free or a part waits again. */
	onFreed: () => void;
	/** Called when the first unit of a job has started. */
	onBegun: (run: JobRun) => void;
	onRefused: (placed: Placed, result: Extract<StartResult, {outcome: 'refused'}>) => void;
	/** Ticket of the advice service for the part on the worker; `undefined` where none is needed. */
	ticketOf: (run: JobRun, part: Part, workerId: string) => string | undefined;
}>;

/** Starts and stops units and keeps account of where they are. */
export type Placements = Readonly<{
	start: (run: JobRun, part: Part, workerIds: readonly string[]) => void;
	/** Stops all units of a part. */
	stop: (run: JobRun, part: Part, reason: string) => void;
	/** Has a unit work at a share of its speed, in percent. */
	pace: (run: JobRun, part: Part, placement: Placement, percent: number) => void;
	/** Compares what a worker reports with the account. */
	reconcile: (link: WorkerLink, running: readonly RunningUnit[], sentMs: number) => void;
	/** Takes note of progress only; what is missing from the rows means nothing. */
	noteProgress: (link: WorkerLink, running: readonly RunningUnit[]) => void;
	/** The life of a worker is over, or its leases are. */
	dropWorker: (workerId: string) => void;
}>;

const isSame = (placement: Placement, workerId: string, index: number, run: number): boolean =>
	placement.workerId === workerId && placement.index === index && placement.run === run;

/**
Creates the account of a leader.

@example
```ts
const placements = createPlacements({state, term: 3, bounds, log, metrics, now, signal, onFreed, onBegun, onRefused, ticketOf});
placements.start(run, part, ['i-1']);
```
*/
export const createPlacements = (options: PlacementsOptions): Placements => {
	const {state, term, bounds, log, metrics, now, signal, onFreed, onBegun, onRefused, ticketOf} = options;

	const unitOf = (run: JobRun, part: Part, index: number): string =>
		formatUnitName({jobId: run.job.id, occurrence: part.occurrence, step: part.step, index});

	const drop = (part: Part, placement: Placement) => {
		part.placements = part.placements.filter((other) => other !== placement);
		if (part.placements.length === 0) {
			part.waitingSinceMs = undefined;
		}

		onFreed();
	};

	/** Repeats the stop until the worker has accepted it or is gone; the end or a report without the run then settles it. */
	const stopPlacement = async (run: JobRun, part: Part, placement: Placement) => {
		const unit = unitOf(run, part, placement.index);
		while (!signal.aborted && part.placements.includes(placement)) {
			const link = state.links.get(placement.workerId);
			if (!link || link.state() === 'gone') {
				return;
			}

			if (await link.stop(unit, placement.run)) {
				placement.stopAcceptedMs ??= now();
				link.wake();
				return;
			}

			await sleep(STOP_RETRY_MS, signal);
		}
	};

	const unsavedCoreSeconds = (run: JobRun, part: Part, placement: Placement): number => {
		const step = stepOf(run, part);
		return step.checkpoints ? 0 : Math.round((coresOf(step) * (now() - placement.startedMs)) / 1000);
	};

	const stop = (run: JobRun, part: Part, reason: string) => {
		for (const placement of part.placements) {
			if (placement.phase !== 'stopping') {
				placement.phase = 'stopping';
				log.info('unit-stop', {
					unit: unitOf(run, part, placement.index),
					run: placement.run,
					worker: placement.workerId,
					reason,
					ranMs: Math.round(now() - placement.startedMs),
					unsavedCoreS: unsavedCoreSeconds(run, part, placement),
				});
				metrics.count('unit_stops_total', {reason});
				void stopPlacement(run, part, placement);
			}
		}
	};

	const takeStartResult = (run: JobRun, part: Part, placement: Placement, result: StartResult) => {
		if (!part.placements.includes(placement)) {
			return;
		}

		const unit = unitOf(run, part, placement.index);
		metrics.count('unit_starts_total', {
			outcome: result.outcome === 'refused' ? result.reason : result.outcome,
			class: String(run.job.priority),
		});
		if (result.outcome === 'accepted') {
			placement.acceptedMs ??= now();
			if (placement.phase === 'starting') {
				placement.phase = 'running';
			}

			if (!run.hasBegun) {
				run.hasBegun = true;
				run.changes += 1;
				onBegun(run);
			}

			return;
		}

		log.info('unit-start-failed', {
			unit,
			run: placement.run,
			worker: placement.workerId,
			reason: result.outcome === 'refused' ? result.reason : 'no-answer',
		});
		if (result.outcome === 'refused') {
			drop(part, placement);
			onRefused({run, part, placement}, result);
			// The other members of a gang would only wait for this one.
			stop(run, part, 'gang-incomplete');
		} else {
			stop(run, part, 'start-unanswered');
		}
	};

	const attach = ({run, part}: Omit<Placed, 'placement'>, row: RunningUnit, workerId: string, index: number) => {
		const newest = Math.max(row.run, ...part.placements.map((placement) => placement.run));
		part.placements.push({
			workerId,
			index,
			run: row.run,
			phase: 'running',
			startedMs: now(),
			acceptedMs: now(),
			stopAcceptedMs: undefined,
			missedReports: 0,
			percent: row.percent,
			isWhole: false,
			progressMs: now(),
			reportedMs: now(),
			window: openWindow({atMs: now(), percent: row.percent}),
			recentFigure: row.recentFigure,
			// An earlier leader may have changed it.
			pace: undefined,
		});
		part.orderedRun = Math.max(part.orderedRun, row.run);
		run.hasBegun = true;
		if (part.placements.some((placement) => placement.run !== newest)) {
			stop(run, part, 'older-run');
		}
	};

	const updatePlacement = (part: Part, placement: Placement, row: RunningUnit) => {
		placement.acceptedMs ??= now();
		placement.missedReports = 0;
		const point = {atMs: now(), percent: row.percent};
		placement.window = placement.window ? extendWindow(placement.window, point) : openWindow(point);
		placement.reportedMs = now();
		placement.recentFigure = row.recentFigure;
		if (row.percent !== placement.percent) {
			placement.percent = row.percent;
			placement.progressMs = now();
		}

		if (row.checkpoint && placement.run >= part.orderedRun) {
			part.checkpoint = row.checkpoint;
		}
	};

	const stopStray = (link: WorkerLink, unit: string, run: number) => {
		let strays = state.strays.get(link.worker.id);
		if (!strays) {
			strays = new Map();
			state.strays.set(link.worker.id, strays);
		}

		if (!strays.has(unit)) {
			log.info('stray-stop', {unit, run, worker: link.worker.id});
		}

		strays.set(unit, run);
		void link.stop(unit, run);
	};

	const takeRow = (link: WorkerLink, row: RunningUnit): Placement | undefined => {
		const name = parseUnitName(row.unit);
		const run = name && state.runs.get(name.jobId);
		const part = run && partOf(run, name.occurrence, name.step, name.index);
		if (!name || !run || !part) {
			stopStray(link, row.unit, row.run);
			return undefined;
		}

		const workerId = link.worker.id;
		if (!part.placements.some((placement) => isSame(placement, workerId, name.index, row.run))) {
			attach({run, part}, row, workerId, name.index);
		}

		const placement = part.placements.find((other) => isSame(other, workerId, name.index, row.run));
		if (placement) {
			updatePlacement(part, placement, row);
		}

		// The members of a gang end together by themselves.
		const hasJustEnded = part.isDone && Date.now() - (part.doneMs ?? 0) < GANG_END_MS;
		if ((part.isDone && !hasJustEnded) || (!part.isDone && (run.outcome !== undefined || run.isCancelled))) {
			stop(run, part, run.isCancelled ? 'cancelled' : 'not-needed');
		}

		return placement;
	};

	/** Judges a placement that a report of the worker does not list. */
	const judgeMissing = (part: Part, placement: Placement, sentMs: number) => {
		if (placement.stopAcceptedMs !== undefined) {
			if (sentMs > placement.stopAcceptedMs + bounds.stopMs + STOP_SETTLE_MS) {
				drop(part, placement);
			}

			return;
		}

		if (placement.acceptedMs !== undefined && sentMs > placement.acceptedMs) {
			placement.missedReports += 1;
			// The end may be in the next part of a long list.
			if (placement.missedReports > 2) {
				log.warn('unit-vanished', {part: part.key, run: placement.run, worker: placement.workerId});
				drop(part, placement);
			}
		}
	};

	const pacePlacement = async (run: JobRun, part: Part, placement: Placement, percent: number) => {
		const unit = unitOf(run, part, placement.index);
		placement.pace = percent;
		const isDone = await state.links.get(placement.workerId)?.pace(unit, placement.run, percent);
		log.info('unit-pace', {unit, run: placement.run, worker: placement.workerId, percent, isDone: isDone ?? false});
		if (!isDone && placement.pace === percent) {
			// The next pass orders it again.
			placement.pace = undefined;
		}
	};

	return {
		stop,
		pace(run, part, placement, percent) {
			void pacePlacement(run, part, placement, percent);
		},
		start(run, part, workerIds) {
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
				missedReports: 0,
				percent: 0,
				isWhole: part.checkpoint === '',
				progressMs: now(),
				reportedMs: now(),
				window: part.checkpoint === '' ? openWindow({atMs: now(), percent: 0}) : undefined,
				recentFigure: undefined,
				pace: 100,
			}));
			log.info('part-start', {
				job: run.job.id,
				part: part.key,
				run: runNumber,
				workers: workerIds.join(','),
				resumed: part.checkpoint !== '',
				waitedMs: Math.round(now() - (part.waitingSinceMs ?? now())),
			});
			const {checkpoint} = part;
			for (const placement of part.placements) {
				const link = state.links.get(placement.workerId);
				const unit = unitOf(run, part, placement.index);
				void (async () => {
					const result: StartResult = link
						? await link.start({
								unit,
								run: runNumber,
								spec: run.job.spec,
								checkpoint,
								ticket: ticketOf(run, part, placement.workerId),
							})
						: {outcome: 'refused', reason: 'other-life'};
					takeStartResult(run, part, placement, result);
				})();
			}
		},
		noteProgress(link, running) {
			for (const {run, part, placement} of state.index.placed.get(link.worker.id) ?? []) {
				const unit = unitOf(run, part, placement.index);
				const row = running.find((one) => one.unit === unit && one.run === placement.run);
				if (row && part.placements.includes(placement)) {
					updatePlacement(part, placement, row);
				}
			}
		},
		reconcile(link, running, sentMs) {
			state.strays.delete(link.worker.id);
			const listed = new Set<Placement>();
			for (const row of running) {
				const placement = takeRow(link, row);
				if (placement) {
					listed.add(placement);
				}
			}

			for (const {part, placement} of state.index.placed.get(link.worker.id) ?? []) {
				if (!listed.has(placement) && part.placements.includes(placement)) {
					judgeMissing(part, placement, sentMs);
				}
			}
		},
		dropWorker(workerId) {
			state.strays.delete(workerId);
			for (const {run, part, placement} of allPlaced(state)) {
				if (placement.workerId === workerId) {
					log.info('unit-lost', {unit: unitOf(run, part, placement.index), run: placement.run, worker: workerId});
					drop(part, placement);
					stop(run, part, 'gang-incomplete');
				}
			}
		},
	};
};
