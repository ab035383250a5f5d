import type {EndedUnit, Worker} from '../types.js';
import type {ModelWorker} from './model-worker.js';
import type {WorkerEvents} from './model-worker-events.js';

/** A start that the protocol forbids. */
export type RunViolation = Readonly<{
	rule:
		/** Another run of the unit was active. */
		| 'overlap'
		/** A run of the unit had succeeded before, and that end is acknowledged, now or later. */
		| 'start-after-success'
		/** The runs on the worker need more accelerators than it has. */
		| 'over-capacity';
	unit: string;
	worker: string;
	atMs: number;
}>;

/** Checks all starts on a set of workers as they happen, so that short violations are not missed. */
export type RunChecker = Readonly<{
	eventsOf: (worker: Worker) => WorkerEvents;
	violations: readonly RunViolation[];
}>;

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
	let position = 0;

	const report = (rule: RunViolation['rule'], {unit, worker, atMs}: Start) => {
		violations.push({rule, unit, worker, atMs});
	};

	const checkStart = (start: Start, {capacity}: Worker) => {
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
		if (load > capacity.accelerators) {
			report('over-capacity', start);
		}
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
		eventsOf: (worker) => ({
			onStart({unit}) {
				position += 1;
				const start = {unit, worker: worker.id, atMs: performance.now(), position};
				starts.push(start);
				checkStart(start, worker);
			},
			onEnd(end) {
				position += 1;
				endPositions.set(end, position);
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
