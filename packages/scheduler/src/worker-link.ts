import {createBackoff, sleep, withDeadline} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import {
	DRAINING_LEASE_MS,
	MIN_RENEWAL_INTERVAL_MS,
	RENEWAL_GRACE_MS,
	RENEWAL_WAIT_MS,
	LEASE_SHARE,
	PROGRESS_POLL_DEADLINE_MS,
	WORKER_RETRY_MAX_MS,
	WORKER_RETRY_MS,
} from './constants.js';
import type {
	EndedUnit,
	RunningUnit,
	SchedulerContext,
	SendOptions,
	StartRefusal,
	Worker,
	WorkerPort,
	WorkerReport,
} from './types.js';
import {createReportedEnds} from './reported-ends.js';
import {createSendCheck, type SendCheck} from './send-check.js';
import {createWaker} from './waker.js';
import {createWorkerClock} from './worker-clock.js';
import {createOrderSender, type OrderResult} from './worker-orders.js';

export type WorkerLinkState =
	/** The worker has not responded to this leader yet. */
	| 'unsynced'
	| 'synced'
	/** The latest lease renewals got no response. */
	| 'silent'
	/** The worker incarnation or its lease has ended. */
	| 'gone';

/** How a link ends: another incarnation responds, or no lease of the worker can be valid any more. */
export type WorkerEnd = Readonly<
	| {
			reason: 'other-life';
			/** Start time of the next incarnation under the same id; `undefined` if the id has gone. */
			successorMs: number | undefined;
	  }
	/** Another incarnation responds under the same id, which only its ends show. */
	| {reason: 'renumbered'; successorMs?: undefined}
	| {reason: 'lease-ended'; successorMs?: undefined}
>;

type AcceptedReport = Extract<WorkerReport, {outcome: 'accepted'}>;

type RenewalOutcome = Readonly<
	/** `hasNews` is set by new ends, and by the first response. */
	{outcome: 'renewed'; hasNews: boolean} | {outcome: 'refused'; reason: StartRefusal}
>;

/** Times of a report, on this instance's clock. */
export type ReportTimes = Readonly<{
	/** Time at which the report was requested. */
	sentMs: number;
	/** Estimate of the time at which the worker composed it. */
	composedMs: number;
}>;

export type WorkerLinkEvents = Readonly<{
	/** Called with all active runs of the worker after each lease renewal. */
	onReport: (link: WorkerLink, running: readonly RunningUnit[], times: ReportTimes) => void;
	/** Called with the active runs after a progress poll. */
	onProgress: (link: WorkerLink, running: readonly RunningUnit[], times: ReportTimes) => void;
	/** Called with newly ended runs; resolves when they are stored. */
	onEnds: (link: WorkerLink, ended: readonly EndedUnit[]) => Promise<void>;
	/** Called when none of the runs that this leader knows of exists any more. */
	onGone: (link: WorkerLink, end: WorkerEnd) => void;
	/** Called when the worker has seen a newer fencing token. */
	onStaleToken: () => void;
	/** Long-poll timeout of the next lease renewal. */
	renewalWaitMs: (link: WorkerLink) => number;
	/** Whether the worker may have active runs. */
	hasWork: (link: WorkerLink) => boolean;
}>;

/** Connection of the leader to one worker incarnation: orders, lease renewals and reports. */
export type WorkerLink = {
	worker: Worker;
	readonly state: () => WorkerLinkState;
	readonly start: (
		order: Readonly<{unit: string; run: number; spec: string; checkpoint: string; ticket: string | undefined}>,
		/** Whether the unit is still to be started. */
		isWanted: () => boolean,
	) => Promise<OrderResult>;
	/** Resolves to whether the run is stopped: it has ended or is ending, and a later start of it would be refused. */
	readonly stop: (unit: string, run: number) => Promise<boolean>;
	/** Polls the progress of the active runs, independently of the renewal loop. */
	readonly pollProgress: () => Promise<void>;
	readonly throttle: (
		order: Readonly<{unit: string; run: number; percent: number}>,
		/** Whether the unit is still to run at this share. */
		isWanted: () => boolean,
	) => Promise<OrderResult>;
	/** Starts the next lease renewal at once if the loop is idle. */
	readonly wake: () => void;
	/** Renews the lease and receives reports until the signal aborts or the worker is gone. */
	readonly run: (signal: AbortSignal) => Promise<void>;
	/** Time, on this instance's clock, after which no lease granted to the worker can be valid. */
	readonly expiryMs: () => number;
	/** Time since which the worker has been silent; `undefined` while it responds. */
	readonly silentSinceMs: () => number | undefined;
	/** Time of the last response; `undefined` before the first one. */
	readonly lastReplyMs: () => number | undefined;
	/** Start time of the incarnation; `undefined` if it is not known. */
	readonly startedMs: () => number | undefined;
	/** Time at which the last renewal was sent that the incarnation has answered. What it accepted later may have been accepted by the next one. */
	readonly confirmedMs: () => number;
	/** Ends the link, since the worker has started again under its id. */
	readonly replace: (successorMs: number) => void;
};

export type WorkerLinkOptions = Readonly<{
	context: Pick<SchedulerContext, 'connectWorker' | 'log' | 'metrics' | 'bounds'>;
	worker: Worker;
	token: number;
	now: () => number;
	/** Time after which leases granted by earlier leaders have expired. */
	earlierLeasesEndMs: number;
	/** Whether this instance's term is still valid. */
	mayOrder: () => boolean;
	events: WorkerLinkEvents;
}>;

/**
Creates the connection to one worker incarnation; its renewal loop is started with `run`.

@example
```ts
const link = createWorkerLink({context, worker, token: term.number, now, earlierLeasesEndMs, mayOrder, events});
lifecycle.run(`worker/${worker.id}`, link.run);
```
*/
export const createWorkerLink = (options: WorkerLinkOptions): WorkerLink => {
	const {context, token, now, earlierLeasesEndMs, mayOrder, events} = options;
	const {log, metrics, bounds} = context;
	const port: WorkerPort = context.connectWorker(options.worker);
	const clock = createWorkerClock(earlierLeasesEndMs);
	const waker = createWaker();
	/** A draining worker gets short leases, so that work that is lost with it can be restarted soon. */
	const leaseLengthMs = (): number =>
		link.worker.state === 'draining' ? DRAINING_LEASE_MS : bounds.maxLeaseMs * LEASE_SHARE;
	let state: WorkerLinkState = 'unsynced';
	const isGone = (): boolean => state === 'gone';
	const isActive = (): boolean => mayOrder() && !isGone();
	let isPolling = false;
	let silentSinceMs: number | undefined;
	let lastReplyMs: number | undefined;
	let confirmedMs = Number.NEGATIVE_INFINITY;
	let {startedMs} = options.worker;
	const setState = (next: WorkerLinkState, fields: Readonly<Record<string, string | number>> = {}) => {
		if (state !== next) {
			log.info('worker-link', {worker: options.worker.id, from: state, to: next, token, ...fields});
			state = next;
			silentSinceMs = next === 'synced' ? undefined : (silentSinceMs ?? now());
		}
	};

	const end = (workerEnd: WorkerEnd) => {
		if (!isGone()) {
			const {reason, successorMs} = workerEnd;
			setState('gone', {reason, ...(successorMs !== undefined && {successorMs})});
			events.onGone(link, workerEnd);
		}
	};

	/** Whether a report is by the incarnation of this link, or by the first one that responds. A report by a later one ends the link. */
	const isOwnReport = ({startedMs: reportedMs, ended}: AcceptedReport, sentMs: number): boolean => {
		if (reportedMs === undefined || reportedMs === startedMs) {
			if (ends.isRenumbered(ended, sentMs)) {
				end({reason: 'renumbered'});
			}

			return !isGone();
		}

		if (startedMs === undefined || (state === 'unsynced' && reportedMs > startedMs)) {
			startedMs = reportedMs;
			return true;
		}

		if (reportedMs > startedMs) {
			end({reason: 'other-life', successorMs: reportedMs});
		}

		return false;
	};

	/** The acknowledgement to send. Another incarnation would take it for one of its own ends, so none is repeated, and none is sent to a worker that may have started again. */
	const acknowledgement = (): number =>
		state === 'synced' && ends.acknowledged() > ends.confirmed() ? ends.acknowledged() : 0;

	const handleRefusal = (reason: StartRefusal) => {
		if (reason === 'stale-token') {
			events.onStaleToken();
		} else if (reason === 'other-life') {
			end({reason: 'other-life', successorMs: undefined});
		}
	};

	const handleOrderResult = (result: OrderResult) => {
		const refusal = result.outcome === 'refused' ? result.reason : result.outcome === 'unknown' && result.refusal;
		if (refusal) {
			handleRefusal(refusal);
		}
	};

	const observeReply = (reply: Readonly<{clockMs?: number | undefined}>, sentMs: number) => {
		// A refusal by another incarnation tells nothing of this one, and has no clock.
		lastReplyMs = reply.clockMs === undefined ? lastReplyMs : now();
		if (reply.clockMs !== undefined) {
			clock.observe(reply.clockMs, sentMs, now());
		}
	};

	const timesOf = ({clockMs}: AcceptedReport, sentMs: number): ReportTimes => ({
		sentMs,
		composedMs: clock.timeOf(clockMs, sentMs, now()),
	});

	const order = createOrderSender({
		workerId: options.worker.id,
		log,
		metrics,
		now,
		mayOrder: isActive,
		observeReply,
	});

	const ends = createReportedEnds({
		workerId: options.worker.id,
		log,
		store: async (ended) => events.onEnds(link, ended),
		onSettled: waker.wake,
	});

	const renewLease = async (signal: AbortSignal, {maySend}: SendCheck): Promise<RenewalOutcome> => {
		const isFirst = state === 'unsynced';
		const hasWork = events.hasWork(link);
		const sentMs = now();
		// A renewal without a response may still extend the lease, so the lease of a worker that does not respond is left to expire.
		const leaseUntilMs = hasWork && state === 'synced' ? clock.leaseUntil(sentMs, leaseLengthMs()) : undefined;
		if (leaseUntilMs !== undefined) {
			clock.recordLease(leaseUntilMs);
		}

		const acknowledgedSequence = acknowledgement();
		const waitMs = isFirst || state === 'silent' ? 0 : events.renewalWaitMs(link);
		const report = await withDeadline(
			waitMs + RENEWAL_GRACE_MS,
			async (deadlineSignal) =>
				port.renewLease(
					{token, acknowledgedSequence, waitMs, ...(leaseUntilMs !== undefined && {leaseUntilMs})},
					{signal: deadlineSignal, maySend},
				),
			signal,
		);
		if (report.outcome === 'refused') {
			metrics.count('lease_renewals_refused_total', {reason: report.reason});
			log.info('renewal-refused', {worker: options.worker.id, reason: report.reason, leaseUntilMs});
			handleRefusal(report.reason);
			return {outcome: 'refused', reason: report.reason};
		}

		if (!isOwnReport(report, sentMs)) {
			return {outcome: 'refused', reason: 'other-life'};
		}

		observeReply(report, sentMs);
		confirmedMs = sentMs;
		ends.confirm(acknowledgedSequence, now());
		setState('synced', {
			...(isFirst && {running: report.running.length, ended: report.ended.length}),
			...(report.startedMs !== undefined && {startedMs: report.startedMs}),
		});
		const hasNews = ends.handle(report.ended) || isFirst;
		events.onReport(link, report.running, timesOf(report, sentMs));
		return {outcome: 'renewed', hasNews};
	};

	const silence = (error: string) => {
		if (state === 'synced') {
			setState('silent', {error});
		}
	};

	const run = async (signal: AbortSignal) => {
		const backoff = createBackoff({minMs: WORKER_RETRY_MS, maxMs: WORKER_RETRY_MAX_MS});
		/** Time since which the worker has refused every renewal. */
		let refusedSinceMs: number | undefined;
		while (!signal.aborted && !isGone()) {
			if (!mayOrder()) {
				await sleep(WORKER_RETRY_MS, signal);
				continue;
			}

			if (ends.isStoring()) {
				// A worker responds at once while it has unacknowledged ends, so until these are stored, renewals only extend the lease.
				await Promise.race([ends.settled(), sleep(RENEWAL_WAIT_MS / 2, signal)]);
				// The term may have lapsed meanwhile, and a later leader does not wait for leases that are granted after it.
				if (!mayOrder()) {
					continue;
				}
			}

			const hasUnacknowledgedEnds = ends.acknowledged() > ends.confirmed();
			if (state === 'synced' && !events.hasWork(link) && !hasUnacknowledgedEnds && !ends.isStoring()) {
				await waker.wait(signal);
				continue;
			}

			const check = createSendCheck(isActive);
			const startedAtMs = now();
			try {
				const renewal = await renewLease(signal, check);
				if (renewal.outcome === 'renewed') {
					refusedSinceMs = undefined;
					backoff.reset();
					if (!renewal.hasNews) {
						await sleep(MIN_RENEWAL_INTERVAL_MS - (now() - startedAtMs), signal);
					}

					continue;
				}

				// A refusal shows that the worker is there, so only lasting refusals count as silence.
				refusedSinceMs ??= now();
				if (now() - refusedSinceMs > RENEWAL_GRACE_MS) {
					silence(`the worker refuses renewals: ${renewal.reason}`);
				}
			} catch (error) {
				if (signal.aborted) {
					break;
				}

				if (!check.isWithdrawn()) {
					silence(toServiceError(error, 'may-have-run').message);
				}
			}

			if (now() > clock.expiryMs()) {
				end({reason: 'lease-ended'});
				break;
			}

			await sleep(backoff.next(), signal);
		}

		port.close();
	};

	const link: WorkerLink = {
		worker: options.worker,
		state: () => state,
		expiryMs: clock.expiryMs,
		silentSinceMs: () => silentSinceMs,
		lastReplyMs: () => lastReplyMs,
		startedMs: () => startedMs,
		confirmedMs: () => confirmedMs,
		replace(successorMs) {
			end({reason: 'other-life', successorMs});
		},
		wake: waker.wake,
		run,
		async start({unit, run: runNumber, spec, checkpoint, ticket}, isWanted) {
			const send = async (sendOptions: SendOptions) => {
				const leaseUntilMs = clock.leaseUntil(now(), leaseLengthMs()) ?? 0;
				clock.recordLease(leaseUntilMs);
				return port.start(
					{unit, run: runNumber, spec, leaseUntilMs, token, checkpoint, ...(ticket !== undefined && {ticket})},
					sendOptions,
				);
			};

			const isOpen = () => isWanted() && link.worker.state === 'ready';
			const result = await order('start', {unit, run: runNumber}, send, isOpen);
			handleOrderResult(result);
			if (result.outcome === 'accepted') {
				waker.wake();
			}

			return result;
		},
		async stop(unit, runNumber) {
			const result = await order('stop', {unit, run: runNumber}, async (sendOptions) =>
				port.stop({unit, run: runNumber, token}, sendOptions),
			);
			handleOrderResult(result);
			// A worker that refuses because the run is over has nothing left to stop.
			return result.outcome === 'accepted' || (result.outcome === 'refused' && result.reason === 'old-run');
		},
		async pollProgress() {
			if (isPolling || state !== 'synced' || !mayOrder()) {
				return;
			}

			isPolling = true;
			const sentMs = now();
			try {
				const report = await withDeadline(PROGRESS_POLL_DEADLINE_MS, async (deadlineSignal) =>
					port.renewLease(
						{token, acknowledgedSequence: acknowledgement(), waitMs: 0},
						{signal: deadlineSignal, maySend: isActive},
					),
				);
				if (report.outcome === 'refused') {
					handleRefusal(report.reason);
				} else if (isOwnReport(report, sentMs)) {
					observeReply(report, sentMs);
					// An earlier report with these ends may have been lost.
					ends.handle(report.ended);
					events.onProgress(link, report.running, timesOf(report, sentMs));
				}
			} catch (error) {
				// Only the renewal loop decides whether the worker counts as silent.
				log.debug('look-unanswered', {worker: options.worker.id, error: toServiceError(error, 'may-have-run').message});
			}

			isPolling = false;
		},
		async throttle({unit, run: runNumber, percent}, isWanted) {
			const send = async (sendOptions: SendOptions) =>
				port.throttle({unit, run: runNumber, percent, token}, sendOptions);
			const result = await order('pace', {unit, run: runNumber}, send, isWanted);
			handleOrderResult(result);
			return result;
		},
	};
	return link;
};
