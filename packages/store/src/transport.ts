import {createBackoff, sleep, withDeadline} from '@bergamotgauge/lifecycle';
import {ServiceError} from '@bergamotgauge/model';
import type {Metrics} from '@bergamotgauge/telemetry';
import {Agent, request} from 'undici';
import {createCircuitBreaker} from './circuit-breaker.js';
import {READ_ATTEMPTS, RETRY_MAX_MS, RETRY_MIN_MS, STORE_RETRY_AFTER_MS} from './constants.js';
import {createRetryBudget} from './retry-budget.js';
import type {StoreCall} from './types.js';

export type StoreResponse = Readonly<{status: number; body: unknown}>;

export type CallOptions = Readonly<{
	method?: 'GET' | 'PUT';
	body?: Uint8Array;
	timeoutMs?: number;
	signal?: AbortSignal;
}>;

/** HTTP calls to the store with a deadline, a retry budget and a circuit breaker. */
export type Transport = Readonly<{
	/** Makes one call without retries. */
	send: (kind: StoreCall, path: string, options?: CallOptions) => Promise<StoreResponse>;
	/** Makes a read, retried within the retry budget. */
	read: (kind: StoreCall, path: string, options?: CallOptions) => Promise<StoreResponse>;
	/** Returns whether this call is the circuit breaker's probe, which must be a read. Throws `store-unavailable` while the breaker is open. */
	admit: () => boolean;
	/** Withdraws one retry from the budget and waits for the delay. Returns false when the budget is exhausted. */
	acquireRetry: (delayMs: number) => Promise<boolean>;
}>;

/** Error for a call that the store did not serve. It must not be used for a write that the store may have applied. */
export const storeUnavailableError = (cause: Error): ServiceError =>
	new ServiceError(`the store does not answer: ${cause.message}`, {
		code: 'store-unavailable',
		verdict: 'not-run',
		retryAfterMs: STORE_RETRY_AFTER_MS,
		cause,
	});

/** Creates the backoff with jitter between attempts. */
export const createRetryDelays = () => createBackoff({minMs: RETRY_MIN_MS, maxMs: RETRY_MAX_MS});

/**
Creates the transport of a store client.

@example
```ts
const transport = createTransport({url, metrics, deadlineMs: 2000});
const {status, body} = await transport.read('get', '/v1/values/config%2Fbundle');
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

	const sendRequest = async (path: string, options: CallOptions): Promise<StoreResponse> =>
		withDeadline(
			options.timeoutMs ?? deadlineMs,
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
			const response = await sendRequest(path, options);
			breaker.recordSuccess();
			return response;
		} catch (error) {
			// A call aborted by its caller is no evidence of a store failure.
			if (!options.signal?.aborted) {
				breaker.recordFailure();
			}

			throw error;
		} finally {
			metrics.observe('store_call_milliseconds', performance.now() - startedMs, {call: kind});
		}
	};

	const admit = (): boolean => {
		const admission = breaker.admit();
		if (admission === 'open') {
			throw storeUnavailableError(new Error('the circuit breaker is open'));
		}

		return admission === 'probe';
	};

	const acquireRetry = async (delayMs: number): Promise<boolean> => {
		if (!budget.tryWithdraw()) {
			return false;
		}

		metrics.count('store_retries_total');
		await sleep(delayMs);
		return true;
	};

	return {
		send,
		admit,
		acquireRetry,
		async read(kind, path, options) {
			budget.deposit();
			const delays = createRetryDelays();
			for (let attempt = 1; ; attempt += 1) {
				admit();
				try {
					return await send(kind, path, options);
				} catch (error) {
					const isFinal = options?.signal?.aborted === true || attempt >= READ_ATTEMPTS;
					if (isFinal || !(await acquireRetry(delays.next()))) {
						throw error;
					}
				}
			}
		},
	};
};
