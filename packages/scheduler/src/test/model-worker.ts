import type {RunEnd} from '@bergamotgauge/jobs';
import {sleep} from '@bergamotgauge/lifecycle';
import {ServiceError} from '@bergamotgauge/model';
import type {
	LeaseRenewal,
	OrderReply,
	RunOrder,
	SendOptions,
	StartOrder,
	Worker,
	WorkerPort,
	WorkerReport,
} from '../types.js';
import {createModelEnds} from './model-ends.js';
import {NO_GANGS, type ModelGangs} from './model-gangs.js';
import {beginRun, createModelRun, percentOf, type ModelRun, type UnitBehaviour} from './model-runs.js';
import type {Availability, ModelWorker, RunTarget, WorkerCall} from './model-worker-types.js';
import {NO_EVENTS, type WorkerEvents} from './model-worker-events.js';
import {createFaultyCalls, createWorkerFaults, type CallKind} from './model-worker-faults.js';

/** Creates a worker that uses the clock of the runtime, which tests may fake. */
export const createModelWorker = (
	worker: Worker,
	behave: (unit: string) => UnitBehaviour,
	events: WorkerEvents = NO_EVENTS,
	gangs: ModelGangs = NO_GANGS,
): ModelWorker => {
	/** Active runs, by unit and run: a delayed start may bring up an older run of a unit beside a newer one. */
	const runs = new Map<string, ModelRun>();
	const closedRuns = new Map<string, number>();
	const starts = new Map<string, number>();
	const throttles = new Map<string, number>();
	const tailLatencies = new Map<string, number>();
	const calls: WorkerCall[] = [];
	const faults = createWorkerFaults();
	const {connect, receive, requireResponse, release, clear} = createFaultyCalls(faults);
	const ends = createModelEnds(events);
	let token = 0;
	let leaseUntilMs = 0;
	let leaseTimer: NodeJS.Timeout | undefined;
	let availability: Availability = 'up';
	let {startedMs} = worker;
	let clockOriginMs = -50_000;

	const requireProcess = () => {
		if (availability === 'down') {
			throw new ServiceError('connection refused', {code: 'worker-failed', verdict: 'not-run'});
		}
	};

	const clockMs = () => Math.round((performance.now() - clockOriginMs) * faults.clockRate);

	const runKey = (unit: string, run: number): string => `${unit} ${run}`;

	const end = (run: ModelRun, how: RunEnd) => {
		clearTimeout(run.timer);
		runs.delete(runKey(run.unit, run.run));
		closedRuns.set(run.unit, Math.max(closedRuns.get(run.unit) ?? 0, run.run));
		ends.record(run.unit, run.run, how);
		run.leaveGang(how);
	};

	const extendLease = (untilMs: number) => {
		leaseUntilMs = Math.max(leaseUntilMs, untilMs);
		clearTimeout(leaseTimer);
		leaseTimer = setTimeout(
			() => {
				for (const run of runs.values()) {
					end(run, 'lapsed');
				}

				ends.expire();
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

	const accept = (): OrderReply => ({outcome: 'accepted', clockMs: clockMs()});

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
		if (runs.has(runKey(unit, run))) {
			return accept();
		}

		if (run <= (closedRuns.get(unit) ?? 0)) {
			return refuse('old-run');
		}

		const usual = behave(unit);
		const behaviour = {...usual, runMs: usual.runMs * faults.slowness};
		const started = createModelRun(unit, run, behaviour);
		runs.set(runKey(unit, run), started);
		starts.set(unit, (starts.get(unit) ?? 0) + 1);
		events.onStart(order);
		const finish = () => {
			if (behaviour.crashesWorker) {
				events.onCrash(unit);
			} else {
				end(started, behaviour.how);
			}
		};

		started.leaveGang = gangs.join(unit, run, {
			begin() {
				beginRun(started, finish);
			},
			end(how) {
				end(started, how);
			},
		});
		return accept();
	};

	const stop = ({unit, run, token: given}: RunOrder): OrderReply => {
		if (isStale(given)) {
			return refuse('stale-token');
		}

		closedRuns.set(unit, Math.max(closedRuns.get(unit) ?? 0, run));
		const found = runs.get(runKey(unit, run));
		if (found) {
			end(found, 'stopped');
		}

		return accept();
	};

	const throttle = ({unit, run, percent, token: given}: RunOrder & Readonly<{percent: number}>): OrderReply => {
		if (isStale(given)) {
			return refuse('stale-token');
		}

		if (!runs.has(runKey(unit, run))) {
			return refuse('old-run');
		}

		throttles.set(unit, percent);
		return accept();
	};

	const acceptRenewal = ({token: given, acknowledgedSequence: acknowledged, leaseUntilMs: untilMs}: LeaseRenewal) => {
		if (isStale(given)) {
			return 'stale-token';
		}

		ends.acknowledge(acknowledged);
		if (untilMs !== undefined) {
			extendLease(untilMs);
		}

		return 'accepted';
	};

	const report = (acknowledged: number): WorkerReport => {
		const listed = ends.listedAfter(acknowledged);
		return {
			outcome: 'accepted',
			clockMs: clockMs(),
			startedMs,
			running: [...runs.values()].map((active) => ({
				unit: active.unit,
				run: active.run,
				checkpoint: '',
				recentFigure: tailLatencies.get(active.unit),
				percent: percentOf(active),
			})),
			ended: listed.slice(0, faults.endsPerReport),
			hasMoreEnds: listed.length >= faults.endsPerReport,
		};
	};

	const record = (kind: CallKind, target: Partial<RunTarget> = {}) => {
		calls.push({kind, atMs: performance.now(), ...target});
	};

	const receiveOrder = async (
		kind: CallKind,
		{unit, run}: RunTarget,
		carryOut: () => OrderReply,
		options?: SendOptions,
	): Promise<OrderReply> => {
		await connect(options);
		record(kind, {unit, run});
		requireProcess();
		if (availability === 'replaced') {
			return refuse('other-life');
		}

		const reply = await receive(kind, carryOut, () => refuse('unhealthy'), options?.signal);
		requireResponse();
		return reply;
	};

	return {
		worker,
		clockMs,
		faults,
		calls,
		release,
		starts,
		throttles,
		tailLatencies,
		startedMs: () => startedMs,
		restart() {
			closedRuns.clear();
			throttles.clear();
			ends.clear();
			token = 0;
			leaseUntilMs = 0;
			clockOriginMs = performance.now();
			startedMs = startedMs === undefined ? undefined : Date.now();
			availability = 'up';
		},
		crash(keepsCalls = false) {
			clearTimeout(leaseTimer);
			const lost = [...runs.values()];
			runs.clear();
			for (const {timer, leaveGang} of lost) {
				clearTimeout(timer);
				leaveGang('lapsed');
			}

			if (!keepsCalls) {
				clear();
			}

			ends.wake();
		},
		setAvailability(next) {
			availability = next;
		},
		running: () => [...runs.values()].map(({unit, run}) => ({unit, run})),
		acknowledged: ends.acknowledged,
		port: () => ({
			close() {
				// The simulated worker has no connections.
			},
			start: async (order, options) => receiveOrder('start', order, () => start(order), options),
			stop: async (order, options) => receiveOrder('stop', order, () => stop(order), options),
			throttle: async (order, options) => receiveOrder('throttle', order, () => throttle(order), options),
			async renewLease(renewal, options) {
				const {signal} = options;
				const {acknowledgedSequence: acknowledged, waitMs} = renewal;
				await connect(options);
				record('renewal');
				requireProcess();
				if (availability === 'replaced') {
					return {outcome: 'refused', reason: 'other-life'};
				}

				const reason = await receive<'accepted' | 'stale-token' | 'unhealthy'>(
					'renewal',
					() => acceptRenewal(renewal),
					() => 'unhealthy',
					signal,
				);
				if (reason !== 'accepted') {
					requireResponse();
					return {outcome: 'refused', reason};
				}

				if (waitMs > 0 && ends.listedAfter(acknowledged).length === 0) {
					await ends.waitForNext(waitMs, signal);
				}

				if (waitMs > 0 && faults.lostLongPolls > 0) {
					faults.lostLongPolls -= 1;
					await new Promise((resolve) => {
						signal.addEventListener('abort', resolve, {once: true});
					});
				}

				if (availability !== 'up') {
					throw new ServiceError('connection closed', {code: 'worker-failed', verdict: 'may-have-run'});
				}

				requireResponse();
				const composed = report(acknowledged);
				if (faults.reportDelayMs > 0) {
					await sleep(faults.reportDelayMs);
				}

				return composed;
			},
		}),
	};
};
