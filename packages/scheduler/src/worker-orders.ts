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

/** Sends an order, again if it got no response; orders are idempotent. Resolves to `undefined` when none came. */
export type OrderSender = (kind: OrderKind, send: () => Promise<OrderReply>) => Promise<OrderReply | undefined>;

/**
Creates the sender of orders to one worker incarnation.

@example
```ts
const order = createOrderSender({workerId, log, metrics, now, mayOrder, observeReply});
const reply = await order('stop', async () => port.stop({unit, run, token}));
```
*/
export const createOrderSender =
	({workerId, log, metrics, now, mayOrder, observeReply}: OrderSenderOptions): OrderSender =>
	async (kind, send) => {
		for (const deadlineMs of ORDER_DEADLINES_MS) {
			if (!mayOrder()) {
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
				log.debug('order-unanswered', {kind, worker: workerId, error: toServiceError(error, 'may-have-run').message});
			}
		}

		return undefined;
	};
