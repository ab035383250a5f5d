import {DeadlineError, startTimeout} from '@bergamotgauge/lifecycle';
import {toServiceError, type Verdict} from '@bergamotgauge/model';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {ORDER_DEADLINES_MS} from './constants.js';
import {createSendCheck} from './send-check.js';
import type {OrderReply, SendOptions, StartRefusal} from './types.js';

export type OrderKind = 'start' | 'stop' | 'pace';

export type OrderSenderOptions = Readonly<{
	workerId: string;
	log: Log;
	metrics: Metrics;
	now: () => number;
	/** Whether orders may be sent to the worker. */
	mayOrder: () => boolean;
	observeReply: (reply: OrderReply, sentMs: number) => void;
}>;

/** The run that an order is for. */
export type OrderTarget = Readonly<{unit: string; run: number}>;

/** What is known of an order after all of its attempts. */
export type OrderResult =
	/** With `isUncertain`, an earlier attempt without a response may still be carried out, after newer orders. */
	| Readonly<{outcome: 'accepted'; isUncertain: boolean}>
	/** No attempt has taken effect, and none can any more. */
	| Readonly<{outcome: 'refused'; reason: StartRefusal}>
	/** An attempt without a response may have taken effect or may still do so; `refusal` is the reply to a later one. */
	| Readonly<{outcome: 'unknown'; refusal: StartRefusal | undefined}>;

/** Sends an order, again while its outcome is unknown; orders are idempotent. */
export type OrderSender = (
	kind: OrderKind,
	target: OrderTarget,
	send: (options: SendOptions) => Promise<OrderReply>,
	/** Whether the order still holds; otherwise no attempt at it is sent. */
	isWanted?: () => boolean,
) => Promise<OrderResult>;

/** Refusals that another attempt cannot change. */
const isFinal = (reason: StartRefusal): boolean => reason !== 'unhealthy';

/**
Creates the sender of orders to one worker incarnation.

A refusal is the outcome of its attempt only. Once an attempt got no response, the order stays `unknown` until a later attempt is accepted or the incarnation has ended.

@example
```ts
const order = createOrderSender({workerId, log, metrics, now, mayOrder, observeReply});
const result = await order('stop', {unit, run}, async (options) => port.stop({unit, run, token}, options));
```
*/
export const createOrderSender = ({
	workerId,
	log,
	metrics,
	now,
	mayOrder,
	observeReply,
}: OrderSenderOptions): OrderSender => {
	/**
	Sends one attempt, which is given up when it could not be written within the deadline, or got no response within the deadline since then. Resolves to its verdict when it got no response.
	*/
	const sendAttempt = async (
		attempt: OrderTarget & Readonly<{kind: OrderKind; attempt: number}>,
		deadlineMs: number,
		send: (options: SendOptions) => Promise<OrderReply>,
		holds: () => boolean,
	): Promise<OrderReply | Verdict | 'withdrawn'> => {
		const {kind} = attempt;
		const startedMs = now();
		let sentMs = startedMs;
		const controller = new AbortController();
		const check = createSendCheck(holds);
		// The port rejects when the signal aborts, and its error says whether the attempt was sent.
		const giveUp = () => {
			controller.abort(new DeadlineError(`deadline of ${deadlineMs} ms exceeded`));
		};

		let cancelTimeout = startTimeout(deadlineMs, giveUp);
		const maySend = () => {
			if (!check.maySend()) {
				return false;
			}

			cancelTimeout();
			cancelTimeout = startTimeout(deadlineMs, giveUp);
			sentMs = now();
			return true;
		};

		try {
			const reply = await send({signal: controller.signal, maySend});
			const outcome = reply.outcome === 'refused' ? reply.reason : reply.outcome;
			metrics.observe('worker_order_milliseconds', now() - startedMs, {kind});
			metrics.count('worker_order_attempts_total', {kind, outcome});
			if (reply.outcome === 'refused') {
				log.info('order-refused', {...attempt, worker: workerId, reason: reply.reason});
			}

			observeReply(reply, sentMs);
			return reply;
		} catch (error) {
			const {message, verdict} = toServiceError(error, 'may-have-run');
			const waitedMs = Math.round(now() - startedMs);
			if (check.isWithdrawn()) {
				metrics.count('worker_order_attempts_total', {kind, outcome: 'withdrawn'});
				log.info('order-withdrawn', {...attempt, worker: workerId, waitedMs});
				return 'withdrawn';
			}

			metrics.count('worker_order_attempts_total', {kind, outcome: verdict === 'not-run' ? 'unsent' : 'no-response'});
			log.info('order-unanswered', {...attempt, worker: workerId, verdict, waitedMs, error: message});
			return verdict;
		} finally {
			cancelTimeout();
		}
	};

	return async (kind, target, send, isWanted = () => true) => {
		const holds = () => mayOrder() && isWanted();
		let mayHaveRun = false;
		let isUnreachable = false;
		let refusal: StartRefusal | undefined;
		for (const [index, deadlineMs] of ORDER_DEADLINES_MS.entries()) {
			if (!holds()) {
				break;
			}

			// An attempt may wait for a connection for longer than the order holds, so this is checked again when it is sent.
			const reply = await sendAttempt({kind, ...target, attempt: index + 1}, deadlineMs, send, holds);
			if (reply === 'withdrawn') {
				break;
			}

			if (typeof reply === 'string') {
				mayHaveRun ||= reply !== 'not-run';
				isUnreachable ||= reply === 'not-run';
				continue;
			}

			if (reply.outcome === 'accepted') {
				return {outcome: 'accepted', isUncertain: mayHaveRun};
			}

			refusal = reply.reason;
			// Nothing of an earlier attempt is left on a worker incarnation that has ended.
			if (!mayHaveRun || refusal === 'other-life') {
				return {outcome: 'refused', reason: refusal};
			}

			if (isFinal(refusal)) {
				break;
			}
		}

		if (mayHaveRun) {
			return {outcome: 'unknown', refusal};
		}

		return {outcome: 'refused', reason: isUnreachable ? 'unreachable' : 'withdrawn'};
	};
};
