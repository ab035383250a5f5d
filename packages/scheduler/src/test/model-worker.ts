import {ServiceError} from '@bergamotgauge/model';
import type {RunEnd} from '@bergamotgauge/jobs';
import type {EndedUnit, OrderReply, StartOrder, Worker, WorkerPort} from '../types.js';

/** Simulated behaviour of a unit. */
export type UnitBehaviour = Readonly<{
	runMs: number;
	how: RunEnd;
	/** For long-running units: time after which the unit is serving. */
	startupMs?: number;
}>;

/** Events on a worker, for tests that record them. */
export type WorkerEvents = Readonly<{
	onStart: (order: StartOrder) => void;
	onEnd: (end: EndedUnit) => void;
	/** Called when the ends up to the sequence are acknowledged. */
	onAcknowledged: (sequence: number) => void;
}>;

const NO_EVENTS: WorkerEvents = {
	onStart() {
		// Most tests inspect the worker itself.
	},
	onEnd() {
		// Not needed by most tests.
	},
	onAcknowledged() {
		// Not needed by most tests.
	},
};

export type WorkerFaults = {
	/** Network partition: no order arrives and no response leaves. */
	isCutOff: boolean;
	/** One-way network partition: orders arrive and are carried out, and no response leaves. */
	isMute: boolean;
	/** Speed of the worker's clock. */
	clockRate: number;
	/** Number of following starts that get no response and are carried out by `release`. */
	delayedStarts: number;
	/** Number of following starts that are carried out but whose responses are lost. */
	lostResponses: number;
	/** Number of following long polls that get no response. */
	lostLongPolls: number;
	/** Factor on the run time of runs that start from now on. */
	slowness: number;
	/** Starts need this ticket. */
	ticket?: string;
};

type Run = {unit: string; run: number; timer: NodeJS.Timeout; startedMs: number; behaviour: UnitBehaviour};

/** A simulated worker that follows the protocol for fencing tokens, leases, stopped runs and acknowledged ends. */
export type ModelWorker = Readonly<{
	worker: Worker;
	port: () => WorkerPort;
	faults: WorkerFaults;
	/** Carries out the delayed starts. */
	release: () => void;
	/** Number of starts, by unit. */
	starts: ReadonlyMap<string, number>;
	/** Ends all runs as a crash does, without reporting them. */
	crash: () => void;
	running: () => ReadonlyArray<Readonly<{unit: string; run: number}>>;
	/** CPU shares that were ordered, by unit, in percent. */
	throttles: ReadonlyMap<string, number>;
	/** Tail latency to report, by unit. */
	tailLatencies: Map<string, number>;
	/** Sequence of the last acknowledged end. */
	acknowledged: () => number;
}>;

const percentOf = ({runMs, startupMs}: UnitBehaviour, ranMs: number): number =>
	startupMs === undefined
		? Math.min(99, Math.round((100 * ranMs) / runMs))
		: Math.min(100, Math.round((100 * ranMs) / startupMs));

/** Creates a worker that uses the clock of the runtime, which tests may fake. */
export const createModelWorker = (
	worker: Worker,
	behave: (unit: string) => UnitBehaviour,
	events: WorkerEvents = NO_EVENTS,
): ModelWorker => {
	const runs = new Map<string, Run>();
	const closedRuns = new Map<string, number>();
	const starts = new Map<string, number>();
	const throttles = new Map<string, number>();
	const tailLatencies = new Map<string, number>();
	const delayed: StartOrder[] = [];
	const faults: WorkerFaults = {
		isCutOff: false,
		isMute: false,
		clockRate: 1,
		delayedStarts: 0,
		lostResponses: 0,
		lostLongPolls: 0,
		slowness: 1,
	};
	const ended: EndedUnit[] = [];
	const waiting = new Set<() => void>();
	let sequence = 0;
	let token = 0;
	let acknowledgedSequence = 0;
	let leaseUntilMs = 0;
	let leaseTimer: NodeJS.Timeout | undefined;

	const clockMs = () => Math.round(performance.now() * faults.clockRate) + 50_000;

	const end = (run: Run, how: RunEnd) => {
		clearTimeout(run.timer);
		runs.delete(run.unit);
		closedRuns.set(run.unit, Math.max(closedRuns.get(run.unit) ?? 0, run.run));
		sequence += 1;
		const listed: EndedUnit = {sequence, unit: run.unit, run: run.run, how, checkpoint: ''};
		ended.push(listed);
		events.onEnd(listed);
		for (const wake of waiting) {
			wake();
		}
	};

	const extendLease = (untilMs: number) => {
		leaseUntilMs = Math.max(leaseUntilMs, untilMs);
		clearTimeout(leaseTimer);
		leaseTimer = setTimeout(
			() => {
				for (const run of runs.values()) {
					end(run, 'lapsed');
				}
			},
			(leaseUntilMs - clockMs()) / faults.clockRate,
		);
	};

	const isStale = (given: number): boolean => {
		token = Math.max(token, given);
		return given < token;
	};

	const refuse = (reason: Extract<OrderReply, {outcome: 'refused'}>['reason']): OrderReply => ({
		outcome: 'refused',
		reason,
		clockMs: clockMs(),
	});

	const start = (order: StartOrder): OrderReply => {
		const {unit, run, leaseUntilMs: untilMs, token: given, ticket} = order;
		if (isStale(given)) {
			return refuse('stale-token');
		}

		if (ticket !== faults.ticket) {
			return refuse('no-ticket');
		}

		if (untilMs <= clockMs()) {
			return refuse('late');
		}

		extendLease(untilMs);
		if (runs.get(unit)?.run === run) {
			return {outcome: 'accepted', clockMs: clockMs()};
		}

		if (run <= (closedRuns.get(unit) ?? 0)) {
			return refuse('old-run');
		}

		const usual = behave(unit);
		const behaviour = {...usual, runMs: usual.runMs * faults.slowness};
		const started: Run = {
			unit,
			run,
			behaviour,
			startedMs: performance.now(),
			timer: setTimeout(() => {
				end(started, behaviour.how);
			}, behaviour.runMs),
		};
		runs.set(unit, started);
		starts.set(unit, (starts.get(unit) ?? 0) + 1);
		events.onStart(order);
		return {outcome: 'accepted', clockMs: clockMs()};
	};

	const noResponse = () => new ServiceError('no answer', {code: 'worker-failed', verdict: 'may-have-run'});

	const requireReachable = () => {
		if (faults.isCutOff) {
			throw noResponse();
		}
	};

	const requireResponse = () => {
		if (faults.isCutOff || faults.isMute) {
			throw noResponse();
		}
	};

	const listEnded = (limit: number) => ended.filter((endedUnit) => endedUnit.sequence > limit);

	const waitForEnd = async (waitMs: number, signal: AbortSignal) =>
		new Promise<void>((resolve) => {
			const finish = () => {
				clearTimeout(timer);
				waiting.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			waiting.add(finish);
			signal.addEventListener('abort', finish, {once: true});
		});

	return {
		worker,
		faults,
		starts,
		throttles,
		tailLatencies,
		crash() {
			clearTimeout(leaseTimer);
			for (const {timer} of runs.values()) {
				clearTimeout(timer);
			}

			runs.clear();
		},
		running: () => [...runs.values()].map(({unit, run}) => ({unit, run})),
		acknowledged: () => acknowledgedSequence,
		release() {
			for (const order of delayed.splice(0)) {
				start(order);
			}
		},
		port: () => ({
			close() {
				// The simulated worker has no connections.
			},
			async start(order) {
				requireReachable();
				if (faults.delayedStarts > 0) {
					faults.delayedStarts -= 1;
					delayed.push(order);
					throw noResponse();
				}

				const reply = start(order);
				requireResponse();
				if (faults.lostResponses > 0) {
					faults.lostResponses -= 1;
					throw noResponse();
				}

				return reply;
			},
			async stop({unit, run, token: given}) {
				requireReachable();
				if (isStale(given)) {
					return refuse('stale-token');
				}

				closedRuns.set(unit, Math.max(closedRuns.get(unit) ?? 0, run));
				const found = runs.get(unit);
				if (found && found.run <= run) {
					end(found, 'stopped');
				}

				requireResponse();

				return {outcome: 'accepted', clockMs: clockMs()};
			},
			async throttle({unit, run, percent, token: given}) {
				requireReachable();
				if (isStale(given)) {
					return refuse('stale-token');
				}

				const found = runs.get(unit);
				if (found?.run !== run) {
					return refuse('old-run');
				}

				throttles.set(unit, percent);
				return {outcome: 'accepted', clockMs: clockMs()};
			},
			async renewLease({token: given, acknowledgedSequence: acknowledged, leaseUntilMs: untilMs, waitMs}, signal) {
				requireReachable();
				if (isStale(given)) {
					return {outcome: 'refused', reason: 'stale-token'};
				}

				acknowledgedSequence = Math.max(acknowledgedSequence, acknowledged);
				events.onAcknowledged(acknowledgedSequence);
				if (untilMs !== undefined) {
					extendLease(untilMs);
				}

				if (waitMs > 0 && listEnded(acknowledged).length === 0) {
					await waitForEnd(waitMs, signal);
				}

				if (waitMs > 0 && faults.lostLongPolls > 0) {
					faults.lostLongPolls -= 1;
					await new Promise((resolve) => {
						signal.addEventListener('abort', resolve, {once: true});
					});
				}

				requireResponse();
				return {
					outcome: 'accepted',
					clockMs: clockMs(),
					running: [...runs.values()].map(({unit, run, startedMs, behaviour}) => ({
						unit,
						run,
						checkpoint: '',
						recentFigure: tailLatencies.get(unit),
						percent: percentOf(behaviour, performance.now() - startedMs),
					})),
					ended: listEnded(acknowledged),
				};
			},
		}),
	};
};
