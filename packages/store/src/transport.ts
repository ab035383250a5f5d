import {createBackoff, sleep, withDeadline} from '@bergamotgauge/lifecycle';
import {ServiceError} from '@bergamotgauge/model';
import type {Metrics} from '@bergamotgauge/telemetry';
import {Agent, request} from 'undici';
import {createCircuitBreaker} from './circuit-breaker.js';
import {READ_ATTEMPTS, RETRY_MAX_MS, RETRY_MIN_MS, STORE_RETRY_AFTER_MS} from './constants.js';
import {createRetryBudget} from './retry-budget.js';
import type {StoreCall} from './types.js';

export type Reply = Readonly<{status: number; body: unknown}>;

export type CallOptions = Readonly<{
	method?: 'GET' | 'PUT';
	body?: Uint8Array;
	limitMs?: number;
	signal?: AbortSignal;
}>;

/** Calls to the store with deadline, retry budget and circuit breaker. */
export type Transport = Readonly<{
	/** One call without a retry. */
	send: (kind: StoreCall, path: string, options?: CallOptions) => Promise<Reply>;
	/** A read, repeated within the retry budget. */
	read: (kind: StoreCall, path: string, options?: CallOptions) => Promise<Reply>;
	/** Throws `store-unavailable` while the circuit breaker is open. Tells whether this call is its probe, which must be a read. */
	admit: () => boolean;
	/** Takes one retry from the budget and waits for its delay. */
	takeRetry: (delayMs: number) => Promise<boolean>;
}>;

/** The store gave no usable answer; nothing is said about the effect of a write. */
export const unavailable = (cause: Error): ServiceError =>
	new ServiceError(`the store does not answer: ${cause.message}`, {
		code: 'store-unavailable',
		verdict: 'not-run',
		retryAfterMs: STORE_RETRY_AFTER_MS,
		cause,
	});

/** Delays between attempts, with jitter. */
export const createRetryDelays = () => createBackoff({minMs: RETRY_MIN_MS, maxMs: RETRY_MAX_MS});

/**
Creates the transport of a store client.

@example
```ts
const transport = createTransport({url, metrics, deadlineMs: 2000});
const reply = await transport.read('get', '/v1/values/config%2Fbundle');
```
*/
export const createTransport = ({
	url,
	metrics,
	deadlineMs,
}: Readonly<{url: string; metrics: Metrics; deadlineMs: number}>): Transport => {
	const agent = new Agent({connections: 16, pipelining: 1});
	const breaker = createCircuitBreaker();
	const budget = createRetryBudget();

	const exchange = async (path: string, options: CallOptions): Promise<Reply> =>
		withDeadline(
			options.limitMs ?? deadlineMs,
			async (signal) => {
				const response = await request(`${url}${path}`, {
					dispatcher: agent,
					method: options.method ?? 'GET',
					signal,
					headersTimeout: 0,
					bodyTimeout: 0,
					...(options.body && {body: options.body, headers: {'content-type': 'application/octet-stream'}}),
				});
				const body = await response.body.json();
				if (response.statusCode >= 500) {
					throw new Error(`status ${response.statusCode}`);
				}

				return {status: response.statusCode, body};
			},
			options.signal,
		);

	const send: Transport['send'] = async (kind, path, options = {}) => {
		metrics.count('store_calls_total', {call: kind});
		const startedMs = performance.now();
		try {
			const reply = await exchange(path, options);
			breaker.succeeded();
			return reply;
		} catch (error) {
			// A call that its own caller aborted says nothing about the store.
			if (!options.signal?.aborted) {
				breaker.failed();
			}

			throw error;
		} finally {
			metrics.observe('store_call_milliseconds', performance.now() - startedMs, {call: kind});
		}
	};

	const admit = (): boolean => {
		const admission = breaker.admit();
		if (admission === 'open') {
			throw unavailable(new Error('the circuit breaker is open'));
		}

		return admission === 'probe';
	};

	const takeRetry = async (delayMs: number): Promise<boolean> => {
		if (!budget.withdraw()) {
			return false;
		}

		metrics.count('store_retries_total');
		await sleep(delayMs);
		return true;
	};

	return {
		send,
		admit,
		takeRetry,
		async read(kind, path, options) {
			budget.deposit();
			const delays = createRetryDelays();
			for (let attempt = 1; ; attempt += 1) {
				admit();
				try {
					return await send(kind, path, options);
				} catch (error) {
					const isFinal = options?.signal?.aborted === true || attempt >= READ_ATTEMPTS;
					if (isFinal || !(await takeRetry(delays.next()))) {
						throw error;
					}
				}
			}
		},
	};
};
