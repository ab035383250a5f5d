import type {EndedUnit, Worker} from '../types.js';
import type {WorkerEvents} from './model-worker-events.js';
import type {ModelWorker} from './model-worker-types.js';

/** A start that the protocol forbids. */
export type RunViolation = Readonly<{
	rule:
		/** Another run of the unit was active. */
		| 'overlap'
		/** A run of the unit had succeeded before, and that end is acknowledged, now or later. */
		| 'start-after-success'
		/** The runs on the worker need more accelerators than it has, or had when its report could still be unknown. */
		| 'over-capacity'
		/** A member of a gang waited for the others until it was stopped. */
		| 'alone'
		/** The unit was started more often than allowed after it had crashed as many workers as allowed. */
		| 'start-after-crashes';
	unit: string;
	worker: string;
	atMs: number;
}>;

/** Checks all starts on a set of workers as they happen, so that short violations are not missed. */
export type RunChecker = Readonly<{
	/** `crash` ends the worker's process. */
	eventsOf: (worker: Worker, crash: () => void) => WorkerEvents;
	/** Records the accelerators that a worker has from now on. */
	setAccelerators: (workerId: string, accelerators: number) => void;
	violations: readonly RunViolation[];
}>;

/** Workers that a unit may crash before its further starts are limited. */
const MAX_CRASHED_WORKERS = 3;

/** Starts of a unit that are allowed after that. */
const MAX_STARTS_AFTER_CRASHES = 2;

/** Time for which a start may rest on the report before the latest one of a worker. */
const CAPACITY_NOTICE_MS = 4500;

/** Accelerators of a worker from a time on. */
type CapacityChange = Readonly<{atMs: number; accelerators: number}>;

type Start = Readonly<{unit: string; worker: string; atMs: number; position: number}>;

/** Creates a checker of the workers' runs; `acceleratorsOf` says how many accelerators a unit needs. */
export const createRunChecker = (
	workers: ReadonlyMap<string, ModelWorker>,
	acceleratorsOf: (unit: string) => number,
): RunChecker => {
	const violations: RunViolation[] = [];
	const starts: Start[] = [];
	/** Position, in the order of all events, of the first acknowledged success of each unit. */
	const successes = new Map<string, number>();
	const endPositions = new Map<EndedUnit, number>();
	/** Positions of the crashes that each unit has caused. */
	const crashes = new Map<string, number[]>();
	const capacityChanges = new Map<string, CapacityChange[]>();
	let position = 0;

	/** The most accelerators that a leader may have believed the worker to have. */
	const acceleratorsOn = (workerId: string): number => {
		const changes = capacityChanges.get(workerId) ?? [];
		const latest = changes.findLast(({atMs}) => atMs <= performance.now() - CAPACITY_NOTICE_MS);
		return Math.max(
			latest?.accelerators ?? 0,
			...changes
				.filter(({atMs}) => atMs > performance.now() - CAPACITY_NOTICE_MS)
				.map(({accelerators}) => accelerators),
		);
	};

	const report = (rule: RunViolation['rule'], {unit, worker, atMs}: Start) => {
		violations.push({rule, unit, worker, atMs});
	};

	const checkCrashes = (start: Start) => {
		const limitPosition = crashes.get(start.unit)?.[MAX_CRASHED_WORKERS - 1] ?? Number.POSITIVE_INFINITY;
		const later = starts.filter(({unit, position: at}) => unit === start.unit && at > limitPosition);
		if (later.length > MAX_STARTS_AFTER_CRASHES) {
			report('start-after-crashes', start);
		}
	};

	const checkStart = (start: Start) => {
		const active = [...workers.values()].flatMap(({running}) => running()).filter(({unit}) => unit === start.unit);
		if (active.length > 1) {
			report('overlap', start);
		}

		if (start.position > (successes.get(start.unit) ?? Number.POSITIVE_INFINITY)) {
			report('start-after-success', start);
		}

		const load = workers
			.get(start.worker)!
			.running()
			.reduce((sum, {unit}) => sum + acceleratorsOf(unit), 0);
		if (load > acceleratorsOn(start.worker)) {
			report('over-capacity', start);
		}

		checkCrashes(start);
	};

	const recordSuccess = (unit: string, endPosition: number) => {
		const known = successes.get(unit) ?? Number.POSITIVE_INFINITY;
		for (const start of starts) {
			if (start.unit === unit && start.position > endPosition && start.position < known) {
				report('start-after-success', start);
			}
		}

		successes.set(unit, Math.min(known, endPosition));
	};

	return {
		violations,
		setAccelerators(workerId, accelerators) {
			const changes = capacityChanges.get(workerId) ?? [];
			capacityChanges.set(workerId, [...changes, {atMs: performance.now(), accelerators}]);
		},
		eventsOf: (worker, crash) => ({
			onCrash(unit) {
				position += 1;
				crashes.set(unit, [...(crashes.get(unit) ?? []), position]);
				crash();
			},
			onStart({unit}) {
				position += 1;
				const start = {unit, worker: worker.id, atMs: performance.now(), position};
				starts.push(start);
				checkStart(start);
			},
			onEnd(end) {
				position += 1;
				endPositions.set(end, position);
				if (end.how === 'alone') {
					violations.push({rule: 'alone', unit: end.unit, worker: worker.id, atMs: performance.now()});
				}
			},
			onAcknowledged(_sequence, ends) {
				for (const end of ends) {
					if (end.how === 'done') {
						recordSuccess(end.unit, endPositions.get(end)!);
					}
				}
			},
		}),
	};
};
