import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {
	OBJECTIVE_EXPIRY_FACTOR,
	MAX_POLLED_RUN_MS,
	MAX_SLOW_RESTARTS,
	MIN_WINDOW_MS,
	OVERDUE_MS,
	URGENT_POLL_MS,
	RESTART_GAIN,
	RESTART_MS,
	NORMAL_SPEED_RATIO,
} from './constants.js';
import {ageOf, stepOf, type ActiveJob, type Part, type Placement} from './active-job.js';
import {expectedObjectiveMs, expectedRunMs, type LeaderState, type PlacedUnit} from './leader-state.js';
import type {Placements} from './placements.js';
import {projectedRunMs} from './progress-window.js';
import {unitSpeed, type UnitSpeed} from './slow-units.js';
import {createSharedRuns} from './interference/observe-shared.js';
import {observeProgress} from './speed/observe-runs.js';
import {isSlow, recordSlow, recordNormalSpeed} from './worker-evidence.js';

export type SlowWorkersOptions = Readonly<{
	state: LeaderState;
	placements: Pick<Placements, 'stop'>;
	log: Log;
	metrics: Metrics;
	now: () => number;
}>;

/** Detects slow workers and restarts their work elsewhere if its job then meets its objective. */
export type SlowWorkers = Readonly<{pass: () => void}>;

type MeasuredUnit = PlacedUnit & Readonly<{speed: UnitSpeed; jobId: string}>;

const maxRatio = (units: readonly MeasuredUnit[]): number => Math.max(...units.map(({speed}) => speed.ratio));

/** Remaining time of the part where it runs. */
const remainingMs = (units: readonly MeasuredUnit[]): number =>
	Math.max(...units.map(({placement, speed}) => (speed.projectedMs * (100 - placement.percent)) / 100));

/** Remaining time of the part if it is restarted elsewhere, including the stop and the start. */
const restartMs = (part: Part, units: readonly MeasuredUnit[], hasCheckpoints: boolean): number => {
	const expectedMs = Math.max(...units.map(({speed}) => speed.expectedMs));
	const minPercent = Math.min(...part.placements.map(({percent}) => percent));
	return RESTART_MS * 2 + expectedMs * (hasCheckpoints ? (100 - minPercent) / 100 : 1);
};

/**
Creates the slow-worker detector of a term.

@example
```ts
const slowWorkers = createSlowWorkers({state, placements, log, metrics, now});
slowWorkers.pass();
```
*/
export const createSlowWorkers = ({state, placements, log, metrics, now}: SlowWorkersOptions): SlowWorkers => {
	const sharedRuns = createSharedRuns({state, log, metrics, now});

	const measure = (placed: readonly PlacedUnit[]): readonly MeasuredUnit[] =>
		placed.flatMap((placedUnit) => {
			const speed = unitSpeed(state, placedUnit);
			if (!speed) {
				return [];
			}

			const isCounted = observeProgress(state, placedUnit, speed.projectedMs, now());
			if (isCounted && state.policy.interference !== 'ignored') {
				sharedRuns.observe(placedUnit, speed.ratio);
			}

			return [{...placedUnit, speed, jobId: placedUnit.activeJob.job.id}];
		});

	/** A restart is worth its cost only if the job then meets its objective, or ends before its result has lost its value. */
	const isWorthRestart = (activeJob: ActiveJob, part: Part, units: readonly MeasuredUnit[]): boolean => {
		const ageMs = ageOf(activeJob, part, {nowMs: now(), wallClockMs: Date.now()});
		const objectiveMs = expectedObjectiveMs(state, activeJob);
		const remainingPartMs = remainingMs(units);
		const restartedMs = restartMs(part, units, stepOf(activeJob, part).checkpoints);
		const isMetOnlyByRestart = (limitMs: number): boolean =>
			ageMs + remainingPartMs > limitMs && ageMs + restartedMs <= limitMs;
		return (
			part.slowRestarts < MAX_SLOW_RESTARTS &&
			remainingPartMs > restartedMs * RESTART_GAIN &&
			(isMetOnlyByRestart(objectiveMs) || isMetOnlyByRestart(objectiveMs * OBJECTIVE_EXPIRY_FACTOR))
		);
	};

	const restart = (part: Part, units: readonly MeasuredUnit[]) => {
		const [first] = units;
		if (!first || !isWorthRestart(first.activeJob, part, units)) {
			return;
		}

		part.slowRestarts += 1;
		for (const {placement} of units) {
			part.avoided = new Set([...part.avoided, placement.workerId]);
		}

		placements.stop(first.activeJob, part, 'slow-worker');
	};

	/** Whether a short run could be over before the regular reports show that it is slow. */
	const isUnmeasured = ({activeJob, part, placement: {window, startedMs, reportedMs}}: PlacedUnit): boolean =>
		window !== undefined &&
		window.newest.atMs - window.base.atMs < MIN_WINDOW_MS &&
		now() - Math.max(startedMs, reportedMs) >= MIN_WINDOW_MS &&
		expectedRunMs(state, activeJob, part.step) < MAX_POLLED_RUN_MS;

	/** Whether the regular reports may show too late that an urgent run hangs. */
	const isUrgentPollDue = ({activeJob, part, placement: {startedMs, reportedMs}}: PlacedUnit): boolean =>
		state.policy.pollsUrgentRuns() &&
		activeJob.job.priority === 0 &&
		now() - Math.max(startedMs, reportedMs) >= URGENT_POLL_MS &&
		expectedRunMs(state, activeJob, part.step) < MAX_POLLED_RUN_MS;

	/** Whether the unit should have ended by its progress and has not been reported since. */
	const isOverdue = ({placement: {window, percent, reportedMs}}: PlacedUnit): boolean => {
		if (!window || window.newest.atMs - window.base.atMs < MIN_WINDOW_MS) {
			return false;
		}

		const endMs = window.newest.atMs + (projectedRunMs(window) * (100 - percent)) / 100;
		return reportedMs < endMs && now() > endMs + OVERDUE_MS;
	};

	const pollIfDue = (workerId: string, placed: readonly PlacedUnit[]) => {
		const isDue = placed.some(
			(placedUnit) =>
				placedUnit.placement.phase === 'running' &&
				placedUnit.placement.percent < 100 &&
				!stepOf(placedUnit.activeJob, placedUnit.part).longRunning &&
				(isUnmeasured(placedUnit) || isUrgentPollDue(placedUnit) || isOverdue(placedUnit)),
		);
		if (isDue) {
			void state.links.get(workerId)?.pollProgress();
		}
	};

	const isRunning = ({phase}: Placement): boolean => phase === 'running';

	return {
		pass() {
			const unitsByPart = new Map<Part, MeasuredUnit[]>();
			for (const [workerId, placed] of state.placementIndex.byWorker) {
				pollIfDue(workerId, placed);
				const units = measure(placed);
				if (units.some(({speed}) => speed.ratio < NORMAL_SPEED_RATIO)) {
					recordNormalSpeed(state, workerId);
				} else if (state.policy.isSlowWorker(units)) {
					if (!isSlow(state, workerId, now())) {
						log.info('worker-slow', {worker: workerId, units: units.length, ratio: maxRatio(units).toFixed(1)});
					}

					recordSlow(state, workerId, now());
					for (const unit of units) {
						unitsByPart.set(unit.part, [...(unitsByPart.get(unit.part) ?? []), unit]);
					}
				}
			}

			if (state.policy.interference !== 'ignored') {
				sharedRuns.report();
			}

			for (const [part, units] of unitsByPart) {
				if (part.placements.every((placement) => isRunning(placement))) {
					restart(part, units);
				}
			}
		},
	};
};
