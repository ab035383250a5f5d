import {withDeadline} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {ORDER_DEADLINES_MS} from './constants.js';
import type {OrderReply} from './types.js';

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

/** Sends an order, again if it got no response; orders are idempotent. Resolves to `undefined` when none came. */
export type OrderSender = (
	kind: OrderKind,
	target: OrderTarget,
	send: () => Promise<OrderReply>,
) => Promise<OrderReply | undefined>;

/**
Creates the sender of orders to one worker incarnation.

@example
```ts
const order = createOrderSender({workerId, log, metrics, now, mayOrder, observeReply});
const reply = await order('stop', {unit, run}, async () => port.stop({unit, run, token}));
```
*/
export const createOrderSender =
	({workerId, log, metrics, now, mayOrder, observeReply}: OrderSenderOptions): OrderSender =>
	async (kind, {unit, run}, send) => {
		let unanswered = 0;
		for (const [index, deadlineMs] of ORDER_DEADLINES_MS.entries()) {
			if (!mayOrder()) {
				break;
			}

			const sentMs = now();
			const attempt = {kind, unit, run, worker: workerId, attempt: index + 1};
			try {
				const reply = await withDeadline(deadlineMs, async () => send());
				const outcome = reply.outcome === 'refused' ? reply.reason : reply.outcome;
				metrics.observe('worker_order_milliseconds', now() - sentMs, {kind});
				metrics.count('worker_order_attempts_total', {kind, outcome});
				if (reply.outcome === 'refused') {
					log.info('order-refused', {...attempt, reason: reply.reason, unanswered});
				}

				observeReply(reply, sentMs);
				return reply;
			} catch (error) {
				const {message, verdict} = toServiceError(error, 'may-have-run');
				unanswered += 1;
				metrics.count('worker_order_attempts_total', {kind, outcome: 'no-response'});
				log.info('order-unanswered', {...attempt, verdict, waitedMs: Math.round(now() - sentMs), error: message});
			}
		}

		return undefined;
	};
