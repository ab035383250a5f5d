import {withDeadline} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import {DRAINING_LEASE_MS, LEASE_SHARE, PROGRESS_POLL_DEADLINE_MS, RENEWAL_GRACE_MS} from './constants.js';
import {createIncarnation} from './incarnation.js';
import {runRenewalLoop, type RenewalOutcome} from './renewal-loop.js';
import {createReportAge, type RequestTime} from './report-age.js';
import {createReportedEnds} from './reported-ends.js';
import {createSendCheck, type SendCheck} from './send-check.js';
import type {SendOptions, StartRefusal, WorkerPort, WorkerReport} from './types.js';
import {createWaker} from './waker.js';
import {createWorkerClock} from './worker-clock.js';
import type {ReportDetails, WorkerEnd, WorkerLink, WorkerLinkOptions, WorkerLinkState} from './worker-link-types.js';
import {createOrderSender, type OrderResult} from './worker-orders.js';

type AcceptedReport = Extract<WorkerReport, {outcome: 'accepted'}>;

/**
Creates the connection to one worker incarnation; its renewal loop is started with `run`.

@example
```ts
const link = createWorkerLink({context, worker, token: term.number, clocks, earlierLeasesEndMs, mayOrder, events});
lifecycle.run(`worker/${worker.id}`, link.run);
```
*/
export const createWorkerLink = (options: WorkerLinkOptions): WorkerLink => {
	const {context, token, clocks, earlierLeasesEndMs, mayOrder, events} = options;
	const {now} = clocks;
	const {log, metrics, bounds} = context;
	let port: WorkerPort = context.connectWorker(options.worker);
	const clock = createWorkerClock(earlierLeasesEndMs);
	const waker = createWaker();
	/** A draining worker gets short leases, so that work that is lost with it can be restarted soon. */
	const leaseLengthMs = (): number =>
		link.worker.state === 'draining' ? DRAINING_LEASE_MS : bounds.maxLeaseMs * LEASE_SHARE;
	let state: WorkerLinkState = 'unsynced';
	const isGone = (): boolean => state === 'gone';
	/** Whether the worker has responded to the latest renewal. */
	const isResponding = (): boolean => state === 'synced' || state === 'syncing';
	let hasListedAll = false;
	const isActive = (): boolean => mayOrder() && !isGone();
	let isPolling = false;
	let silentSinceMs: number | undefined;
	let lastReplyMs: number | undefined;
	let confirmedMs = Number.NEGATIVE_INFINITY;
	const reportAge = createReportAge(clocks);
	const ends = createReportedEnds({
		workerId: options.worker.id,
		log,
		store: async (ended) => events.onEnds(link, ended),
		onSettled: waker.wake,
	});
	const incarnation = createIncarnation(options.worker.startedMs, ends);

	const setState = (next: WorkerLinkState, fields: Readonly<Record<string, string | number>> = {}) => {
		if (state !== next) {
			log.info('worker-link', {worker: options.worker.id, from: state, to: next, token, ...fields});
			state = next;
			silentSinceMs = isResponding() ? undefined : (silentSinceMs ?? now());
		}
	};

	const end = (workerEnd: WorkerEnd) => {
		if (!isGone()) {
			const {reason, successorMs} = workerEnd;
			setState('gone', {reason, ...(successorMs !== undefined && {successorMs})});
			events.onGone(link, workerEnd);
		}
	};

	/** Whether a report is by the incarnation of this link. A report by a later one ends the link. */
	const isOwnReport = (report: AcceptedReport, sentMs: number): boolean => {
		const source = incarnation.identify(report, {sentMs, isFirst: state === 'unsynced'});
		if (typeof source === 'object') {
			end(source);
		}

		return source === 'own' && !isGone();
	};

	/** The acknowledgement to send. Another incarnation would take it for one of its own ends, so none is repeated, and none is sent to a worker that may have started again. */
	const acknowledgement = (): number =>
		isResponding() && reportAge.isRecent() && ends.acknowledged() > ends.confirmed() ? ends.acknowledged() : 0;

	/** Whether a call with the acknowledgement may still be sent, after a wait for a connection. */
	const mayAcknowledge = (sequence: number): boolean => sequence === 0 || reportAge.isRecent();

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

	const observeReport = (
		{clockMs, hasMoreEnds = false}: AcceptedReport,
		{sentMs, suspendedMs}: RequestTime,
	): ReportDetails => {
		const composedMs = clock.timeOf(clockMs, sentMs, now());
		reportAge.record(composedMs, suspendedMs);
		return {sentMs, composedMs, listsAllEnds: !hasMoreEnds};
	};

	const order = createOrderSender({
		workerId: options.worker.id,
		log,
		metrics,
		now,
		mayOrder: isActive,
		observeReply,
	});

	const renewLease = async (signal: AbortSignal, {maySend}: SendCheck): Promise<RenewalOutcome> => {
		const isFirst = state === 'unsynced';
		const hasWork = events.hasWork(link);
		const requestTime = reportAge.requestTime();
		const {sentMs} = requestTime;
		// A renewal without a response may still extend the lease, so the lease of a worker that does not respond is left to expire.
		const leaseUntilMs = hasWork && isResponding() ? clock.leaseUntil(sentMs, leaseLengthMs()) : undefined;
		if (leaseUntilMs !== undefined) {
			clock.recordLease(leaseUntilMs);
		}

		const acknowledgedSequence = acknowledgement();
		const waitMs = state === 'synced' ? events.renewalWaitMs(link) : 0;
		const check = createSendCheck(() => maySend() && mayAcknowledge(acknowledgedSequence));
		let report: WorkerReport;
		try {
			report = await withDeadline(
				waitMs + RENEWAL_GRACE_MS,
				async (deadlineSignal) =>
					port.renewLease(
						{token, acknowledgedSequence, waitMs, ...(leaseUntilMs !== undefined && {leaseUntilMs})},
						{signal: deadlineSignal, maySend: check.maySend},
					),
				signal,
			);
		} catch (error) {
			if (check.isWithdrawn()) {
				return {outcome: 'withdrawn'};
			}

			throw error;
		}

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
		hasListedAll ||= !report.hasMoreEnds;
		setState(hasListedAll ? 'synced' : 'syncing', {
			...(isFirst && {running: report.running.length, ended: report.ended.length}),
			...(report.startedMs !== undefined && {startedMs: report.startedMs}),
		});
		const hasNews = ends.handle(report.ended) || isFirst;
		events.onReport(link, report.running, observeReport(report, requestTime));
		return {outcome: 'renewed', hasNews};
	};

	const silence = (error: string) => {
		if (isResponding()) {
			setState('silent', {error});
			events.onSilent(link);
		}
	};

	const link: WorkerLink = {
		worker: options.worker,
		state: () => state,
		hasListedAll: () => hasListedAll,
		expiryMs: clock.expiryMs,
		silentSinceMs: () => silentSinceMs,
		lastReplyMs: () => lastReplyMs,
		startedMs: incarnation.startedMs,
		confirmedMs: () => confirmedMs,
		replace(successorMs) {
			end({reason: 'other-life', successorMs});
		},
		readdress(worker) {
			const replaced = port;
			port = context.connectWorker(worker);
			replaced.close();
			link.worker = worker;
		},
		wake: waker.wake,
		async run(signal) {
			await runRenewalLoop({
				ends,
				waker,
				now,
				mayOrder,
				isGone,
				isIdle: () => state === 'synced' && !events.hasWork(link),
				renew: renewLease,
				onSilence: silence,
				expiryMs: clock.expiryMs,
				onExpired() {
					end({reason: 'lease-ended'});
				},
				signal,
			});
			port.close();
		},
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
			if (isPolling || !isResponding() || !mayOrder()) {
				return;
			}

			isPolling = true;
			const requestTime = reportAge.requestTime();
			const {sentMs} = requestTime;
			const acknowledgedSequence = acknowledgement();
			try {
				const report = await withDeadline(PROGRESS_POLL_DEADLINE_MS, async (deadlineSignal) =>
					port.renewLease(
						{token, acknowledgedSequence, waitMs: 0},
						{signal: deadlineSignal, maySend: () => mayAcknowledge(acknowledgedSequence) && isActive()},
					),
				);
				if (report.outcome === 'refused') {
					handleRefusal(report.reason);
				} else if (isOwnReport(report, sentMs)) {
					observeReply(report, sentMs);
					// An earlier report with these ends may have been lost.
					ends.handle(report.ended);
					events.onProgress(link, report.running, observeReport(report, requestTime));
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
