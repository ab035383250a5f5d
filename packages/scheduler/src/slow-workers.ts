import type {Log} from '@bergamotgauge/telemetry';
import {
	HOPELESS_FACTOR,
	LOOK_RUN_MS,
	MAX_SLOW_RESTARTS,
	MIN_WINDOW_MS,
	OVERDUE_MS,
	RESTART_GAIN,
	RESTART_MS,
	SOUND_RATIO,
} from './constants.js';
import {ageOf, stepOf, type JobRun, type Part, type Placement} from './job-run.js';
import {expectedObjectiveMs, expectedRunMs, type LeaderState, type Placed} from './leader-state.js';
import type {Placements} from './placements.js';
import {wholeRunMs} from './progress-window.js';
import {isSlowWorker, unitSpeed, type UnitSpeed} from './slow-units.js';
import {isSlow, noteSlow, noteSound} from './worker-evidence.js';

export type SlowWorkersOptions = Readonly<{
	state: LeaderState;
	placements: Pick<Placements, 'stop'>;
	log: Log;
	now: () => number;
}>;

/** Finds workers that have turned slow and moves work off them where that saves its job. */
export type SlowWorkers = Readonly<{pass: () => void}>;

type Measured = Placed & Readonly<{speed: UnitSpeed; jobId: string}>;

const mostOf = (units: readonly Measured[]): number => Math.max(...units.map(({speed}) => speed.ratio));

/** Time until the whole part has ended where it is. */
const remainingMs = (units: readonly Measured[]): number =>
	Math.max(...units.map(({placement, speed}) => (speed.ratio * speed.expectedMs * (100 - placement.percent)) / 100));

/** Time until the part has ended elsewhere, with the stop and the start. */
const restartedMs = (part: Part, units: readonly Measured[], saves: boolean): number => {
	const expectedMs = Math.max(...units.map(({speed}) => speed.expectedMs));
	const least = Math.min(...part.placements.map(({percent}) => percent));
	return RESTART_MS * 2 + expectedMs * (saves ? (100 - least) / 100 : 1);
};

/**
Creates the search for slow workers of a term.

@example
```ts
const slowWorkers = createSlowWorkers({state, placements, log, now});
slowWorkers.pass();
```
*/
export const createSlowWorkers = ({state, placements, log, now}: SlowWorkersOptions): SlowWorkers => {
	const measure = (placed: readonly Placed[]): readonly Measured[] =>
		placed.flatMap((one) => {
			const speed = unitSpeed(state, one);
			return speed ? [{...one, speed, jobId: one.run.job.id}] : [];
		});

	/** A restart pays only where it brings the job in time, or saves one that would be of no use. */
	const isWorthRestart = (run: JobRun, part: Part, units: readonly Measured[]): boolean => {
		const ageMs = ageOf(run, part, {nowMs: now(), todayMs: Date.now()});
		const objectiveMs = expectedObjectiveMs(state, run);
		const stayMs = remainingMs(units);
		const moveMs = restartedMs(part, units, stepOf(run, part).checkpoints);
		const isSaved = (limitMs: number): boolean => ageMs + stayMs > limitMs && ageMs + moveMs <= limitMs;
		return (
			part.slowRestarts < MAX_SLOW_RESTARTS &&
			stayMs > moveMs * RESTART_GAIN &&
			(isSaved(objectiveMs) || isSaved(objectiveMs * HOPELESS_FACTOR))
		);
	};

	const restart = (part: Part, units: readonly Measured[]) => {
		const [first] = units;
		if (!first || !isWorthRestart(first.run, part, units)) {
			return;
		}

		part.slowRestarts += 1;
		for (const {placement} of units) {
			part.avoided.add(placement.workerId);
		}

		placements.stop(first.run, part, 'slow-worker');
	};

	/** A short run could end late before a report shows that it is slow. */
	const isUnmeasured = ({run, part, placement: {window, startedMs, reportedMs}}: Placed): boolean =>
		window !== undefined &&
		window.newest.atMs - window.base.atMs < MIN_WINDOW_MS &&
		now() - Math.max(startedMs, reportedMs) >= MIN_WINDOW_MS &&
		expectedRunMs(state, run, part.step) < LOOK_RUN_MS;

	/** The unit should have ended by its own progress, and no report since then tells. */
	const isOverdue = ({placement: {window, percent, reportedMs}}: Placed): boolean => {
		if (!window || window.newest.atMs - window.base.atMs < MIN_WINDOW_MS) {
			return false;
		}

		const endMs = window.newest.atMs + (wholeRunMs(window) * (100 - percent)) / 100;
		return reportedMs < endMs && now() > endMs + OVERDUE_MS;
	};

	const lookAt = (workerId: string, placed: readonly Placed[]) => {
		const isDue = placed.some(
			(one) =>
				one.placement.phase === 'running' &&
				one.placement.percent < 100 &&
				!stepOf(one.run, one.part).longRunning &&
				(isUnmeasured(one) || isOverdue(one)),
		);
		if (isDue) {
			void state.links.get(workerId)?.look();
		}
	};

	const isRunning = ({phase}: Placement): boolean => phase === 'running';

	return {
		pass() {
			const slowUnits = new Map<Part, Measured[]>();
			for (const [workerId, placed] of state.index.placed) {
				lookAt(workerId, placed);
				const units = measure(placed);
				if (units.some(({speed}) => speed.ratio < SOUND_RATIO)) {
					noteSound(state, workerId);
				} else if (isSlowWorker(units)) {
					if (!isSlow(state, workerId, now())) {
						log.info('worker-slow', {worker: workerId, units: units.length, ratio: mostOf(units).toFixed(1)});
					}

					noteSlow(state, workerId, now());
					for (const unit of units) {
						slowUnits.set(unit.part, [...(slowUnits.get(unit.part) ?? []), unit]);
					}
				}
			}

			for (const [part, units] of slowUnits) {
				if (part.placements.every((placement) => isRunning(placement))) {
					restart(part, units);
				}
			}
		},
	};
};
