import {createBackoff, sleep, withDeadline} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import {
	DRAINING_LEASE_MS,
	RENEWAL_GRACE_MS,
	RENEWAL_WAIT_MS,
	LEASE_SHARE,
	PROGRESS_POLL_DEADLINE_MS,
	ORDER_DEADLINES_MS,
	WORKER_RETRY_MAX_MS,
	WORKER_RETRY_MS,
} from './constants.js';
import type {EndedUnit, OrderReply, RunningUnit, SchedulerContext, StartRefusal, Worker, WorkerPort} from './types.js';
import {createWaker} from './waker.js';
import {createWorkerClock} from './worker-clock.js';

export type WorkerLinkState =
	/** The worker has not answered this leader yet. */
	| 'unsynced'
	| 'synced'
	/** The last calls got no answer. */
	| 'silent'
	/** This life of the worker has ended, or its leases have. */
	| 'gone';

export type StartResult =
	| Readonly<{outcome: 'accepted'}>
	| Readonly<{outcome: 'refused'; reason: StartRefusal}>
	/** The order may still be carried out until it is stopped or its lease ends. */
	| Readonly<{outcome: 'unknown'}>;

export type WorkerLinkEvents = Readonly<{
	/** First answer to this leader, or any later one: all that runs there. */
	onReport: (link: WorkerLink, running: readonly RunningUnit[], sentMs: number) => void;
	/** Answer to a look: progress of what runs there. */
	onProgress: (link: WorkerLink, running: readonly RunningUnit[]) => void;
	/** New ends; resolves when they are stored. */
	onEnds: (link: WorkerLink, ended: readonly EndedUnit[]) => Promise<void>;
	/** Nothing that this leader knows of runs there any more. */
	onGone: (link: WorkerLink, reason: 'other-life' | 'lease-ended') => void;
	/** The worker has seen a newer fencing token. */
	onStaleToken: () => void;
	/** Longest time that the worker may wait for an end before it reports. */
	reportWaitMs: (link: WorkerLink) => number;
	/** Whether something may run there. */
	hasWork: (link: WorkerLink) => boolean;
}>;

/** Orders to one life of a worker and what it reports. */
export type WorkerLink = {
	worker: Worker;
	readonly state: () => WorkerLinkState;
	readonly start: (
		order: Readonly<{unit: string; run: number; spec: string; checkpoint: string; ticket: string | undefined}>,
	) => Promise<StartResult>;
	/** Resolves when the worker has accepted the stop, or its life is over. */
	readonly stop: (unit: string, run: number) => Promise<boolean>;
	/** Asks for the progress of what runs there, beside the reporting loop. */
	readonly look: () => Promise<void>;
	/** Resolves to whether the worker has taken the order. */
	readonly throttle: (unit: string, run: number, percent: number) => Promise<boolean>;
	/** Asks again at once instead of waiting for the next turn. */
	readonly wake: () => void;
	readonly run: (signal: AbortSignal) => Promise<void>;
	/** Time of this instance after which no lease given to the worker can hold. */
	readonly expiryMs: () => number;
};

export type WorkerLinkOptions = Readonly<{
	context: Pick<SchedulerContext, 'connectWorker' | 'log' | 'metrics' | 'bounds'>;
	worker: Worker;
	token: number;
	now: () => number;
	/** Time after which leases of earlier leaders have ended. */
	earlierLeasesEndMs: number;
	/** False when this instance may no longer lead. */
	mayOrder: () => boolean;
	events: WorkerLinkEvents;
}>;

/**
Creates the orders and the reporting loop of one life of a worker.

@example
```ts
const link = createWorkerLink({context, worker, token: term, now, earlierLeasesEndMs, mayOrder, events});
lifecycle.run(`worker/${worker.id}`, link.run);
```
*/
export const createWorkerLink = (options: WorkerLinkOptions): WorkerLink => {
	const {context, token, now, earlierLeasesEndMs, mayOrder, events} = options;
	const {log, metrics, bounds} = context;
	const port: WorkerPort = context.connectWorker(options.worker);
	const clock = createWorkerClock(earlierLeasesEndMs);
	const waker = createWaker();
	/** A worker that leaves gets short leases, so that work that is lost with it runs again soon. */
	const leaseLengthMs = (): number =>
		link.worker.state === 'draining' ? DRAINING_LEASE_MS : bounds.maxLeaseMs * LEASE_SHARE;
	let state: WorkerLinkState = 'unsynced';
	const isGone = (): boolean => state === 'gone';
	/** Ends up to here have been handed on. */
	let forwardedSequence = 0;
	/** Ends up to here are stored. */
	let acknowledgedSequence = 0;
	let isPolling = false;
	/** Resolves to whether all ends so far are stored. */
	let storing: Promise<boolean> | undefined;

	const setState = (next: WorkerLinkState, fields: Readonly<Record<string, string | number>> = {}) => {
		if (state !== next) {
			log.info('worker-link', {worker: options.worker.id, from: state, to: next, token, ...fields});
			state = next;
		}
	};

	const end = (reason: 'other-life' | 'lease-ended') => {
		if (!isGone()) {
			setState('gone', {reason});
			events.onGone(link, reason);
		}
	};

	const handleRefusal = (reason: StartRefusal) => {
		if (reason === 'stale-token') {
			events.onStaleToken();
		} else if (reason === 'other-life') {
			end('other-life');
		}
	};

	const observeReply = (reply: Readonly<{clockMs?: number | undefined}>, sentMs: number) => {
		if (reply.clockMs !== undefined) {
			clock.observe(reply.clockMs, sentMs, now());
		}
	};

	/** Repeats an order that got no answer; the worker carries it out once. */
	const order = async (
		kind: 'start' | 'stop' | 'pace',
		send: () => Promise<OrderReply>,
	): Promise<OrderReply | undefined> => {
		for (const deadlineMs of ORDER_DEADLINES_MS) {
			if (!mayOrder() || isGone()) {
				break;
			}

			const sentMs = now();
			try {
				const reply = await withDeadline(deadlineMs, async () => send());
				metrics.observe('worker_order_milliseconds', now() - sentMs, {kind});
				observeReply(reply, sentMs);
				return reply;
			} catch (error) {
				metrics.count('worker_orders_unanswered_total', {kind});
				log.debug('order-unanswered', {
					kind,
					worker: options.worker.id,
					error: toServiceError(error, 'may-have-run').message,
				});
			}
		}

		return undefined;
	};

	/**
	Stores ends and then lets the worker forget them. Ends of a later report may be stored first, so each waits for those before it: the worker forgets all up to a sequence.
	*/
	const storeEnds = async (ended: readonly EndedUnit[], lastSequence: number, earlier: Promise<boolean>) => {
		let isStored = false;
		try {
			await events.onEnds(link, ended);
			isStored = true;
		} catch (error) {
			// The term is over; the next leader reads the ends again.
			log.info('ends-not-stored', {worker: options.worker.id, error: toServiceError(error, 'not-run').message});
		}

		if ((await earlier) && isStored) {
			acknowledgedSequence = lastSequence;
			return true;
		}

		return false;
	};

	const handleEnds = (ended: readonly EndedUnit[]) => {
		const fresh = ended.filter(({sequence}) => sequence > forwardedSequence);
		if (fresh.length === 0) {
			return;
		}

		forwardedSequence = Math.max(...fresh.map(({sequence}) => sequence));
		const stored = storeEnds(fresh, forwardedSequence, storing ?? Promise.resolve(true));
		storing = stored;
		void (async () => {
			await stored;
			if (storing === stored) {
				storing = undefined;
			}

			waker.wake();
		})();
	};

	const renewLease = async (signal: AbortSignal) => {
		const isFirst = state === 'unsynced';
		const hasWork = events.hasWork(link);
		const sentMs = now();
		// A report without an answer may still extend the lease, so that only a worker that answers gets a longer one.
		const leaseUntilMs = hasWork && state === 'synced' ? clock.leaseUntil(sentMs, leaseLengthMs()) : undefined;
		if (leaseUntilMs !== undefined) {
			clock.recordLease(leaseUntilMs);
		}

		const waitMs = isFirst || state === 'silent' ? 0 : events.reportWaitMs(link);
		const report = await withDeadline(
			waitMs + RENEWAL_GRACE_MS,
			async (limit) =>
				port.hold(
					{token, notedSequence: acknowledgedSequence, waitMs, ...(leaseUntilMs !== undefined && {leaseUntilMs})},
					limit,
				),
			signal,
		);
		if (report.outcome === 'refused') {
			handleRefusal(report.reason);
			return;
		}

		observeReply(report, sentMs);
		setState('synced', isFirst ? {running: report.running.length, ended: report.ended.length} : {});
		handleEnds(report.ended);
		events.onReport(link, report.running, sentMs);
	};

	const run = async (signal: AbortSignal) => {
		const backoff = createBackoff({minMs: WORKER_RETRY_MS, maxMs: WORKER_RETRY_MAX_MS});
		let sentSequence = 0;
		while (!signal.aborted && !isGone()) {
			if (!mayOrder()) {
				await sleep(WORKER_RETRY_MS, signal);
				continue;
			}

			if (storing) {
				// A worker lists ends that are not stored yet at once, so a look in between only keeps its lease.
				await Promise.race([storing, sleep(RENEWAL_WAIT_MS / 2, signal)]);
			}

			const hasUnacknowledgedEnds = acknowledgedSequence > sentSequence;
			if (state === 'synced' && !events.hasWork(link) && !hasUnacknowledgedEnds && !storing) {
				await waker.wait(signal);
				continue;
			}

			try {
				sentSequence = acknowledgedSequence;
				await renewLease(signal);
				backoff.reset();
			} catch (error) {
				if (signal.aborted) {
					break;
				}

				if (state === 'synced') {
					setState('silent', {error: toServiceError(error, 'may-have-run').message});
				}

				if (now() > clock.expiryMs()) {
					end('lease-ended');
					break;
				}

				await sleep(backoff.next(), signal);
			}
		}

		port.close();
	};

	const link: WorkerLink = {
		worker: options.worker,
		state: () => state,
		expiryMs: clock.expiryMs,
		wake: waker.wake,
		run,
		async start({unit, run: runNumber, spec, checkpoint, ticket}) {
			const reply = await order('start', async () => {
				const leaseUntilMs = clock.leaseUntil(now(), leaseLengthMs()) ?? 0;
				clock.recordLease(leaseUntilMs);
				return port.start({
					unit,
					run: runNumber,
					spec,
					leaseUntilMs,
					token,
					checkpoint,
					...(ticket !== undefined && {ticket}),
				});
			});
			if (!reply) {
				return {outcome: 'unknown'};
			}

			if (reply.outcome === 'refused') {
				handleRefusal(reply.reason);
				return {outcome: 'refused', reason: reply.reason};
			}

			waker.wake();
			return {outcome: 'accepted'};
		},
		async stop(unit, runNumber) {
			const reply = await order('stop', async () => port.stop({unit, run: runNumber, token}));
			if (reply?.outcome === 'refused') {
				handleRefusal(reply.reason);
			}

			return reply !== undefined;
		},
		async look() {
			if (isPolling || state !== 'synced' || !mayOrder()) {
				return;
			}

			isPolling = true;
			try {
				const report = await withDeadline(PROGRESS_POLL_DEADLINE_MS, async (limit) =>
					port.hold({token, notedSequence: acknowledgedSequence, waitMs: 0}, limit),
				);
				if (report.outcome === 'refused') {
					handleRefusal(report.reason);
				} else {
					// A report that got no answer may have listed ends.
					handleEnds(report.ended);
					events.onProgress(link, report.running);
				}
			} catch (error) {
				// The reporting loop tells whether the worker is silent.
				log.debug('look-unanswered', {worker: options.worker.id, error: toServiceError(error, 'may-have-run').message});
			}

			isPolling = false;
		},
		async throttle(unit, runNumber, percent) {
			const reply = await order('pace', async () => port.pace({unit, run: runNumber, percent, token}));
			if (reply?.outcome === 'refused') {
				handleRefusal(reply.reason);
			}

			return reply?.outcome === 'accepted';
		},
	};
	return link;
};
