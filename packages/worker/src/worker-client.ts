import {withDeadline} from '@bergamotgauge/lifecycle';
import {ServiceError, type WorkerReport} from '@bergamotgauge/model';
import {Agent, request} from 'undici';
import {REPORT_GRACE_MS, WORKER_DEADLINE_MS} from './constants.js';
import type {TaskReference, WorkerClient} from './types.js';

type Method = 'GET' | 'POST' | 'PUT' | 'DELETE';

const STALE_TOKEN_STATUS = 409;

/** Other errors of the server may follow after the call took effect. */
const isRefusal = (status: number): boolean => status < 500 || status === 503;

const taskPath = ({job, attempt}: TaskReference): string => `/v1/tasks/${encodeURIComponent(`${job}.${attempt}`)}`;

/** On a refused connection the request was never sent. */
const isConnectionRefused = (error: Error): boolean => 'code' in error && error.code === 'ECONNREFUSED';

/**
Creates a client of one worker.

@example
```ts
const worker = createWorkerClient('http://10.0.0.7:9000');
await worker.prepare(task);
await worker.start(task);
```

Calls throw `stale-token` when the worker has seen a newer fencing token or the accelerators are taken, and `worker-failed` with a verdict otherwise. The status is that of the worker's response.
*/
export const createWorkerClient = (address: string): WorkerClient => {
	const agent = new Agent({connections: 4, pipelining: 1});

	const call = async (
		method: Method,
		path: string,
		body?: unknown,
		timeoutMs = WORKER_DEADLINE_MS,
		callerSignal?: AbortSignal,
	): Promise<unknown> => {
		try {
			return await withDeadline(
				timeoutMs,
				async (signal) => {
					const response = await request(`${address}${path}`, {
						dispatcher: agent,
						method,
						signal,
						headersTimeout: 0,
						bodyTimeout: 0,
						headers: {'content-type': 'application/json'},
						...(body !== undefined && {body: JSON.stringify(body)}),
					});
					const responseBody = await response.body.json();
					if (response.statusCode >= 400) {
						const reason = (responseBody as Readonly<{error?: string}>).error ?? `status ${response.statusCode}`;
						throw new ServiceError(`worker ${address} refused: ${reason}`, {
							code: response.statusCode === STALE_TOKEN_STATUS ? 'stale-token' : 'worker-failed',
							status: response.statusCode,
							verdict: isRefusal(response.statusCode) ? 'not-run' : 'may-have-run',
						});
					}

					return responseBody;
				},
				callerSignal,
			);
		} catch (error) {
			if (error instanceof ServiceError) {
				throw error;
			}

			const cause = error instanceof Error ? error : new Error(String(error));
			throw new ServiceError(`worker ${address} does not answer: ${cause.message}`, {
				code: 'worker-failed',
				verdict: isConnectionRefused(cause) ? 'not-run' : 'may-have-run',
				cause,
			});
		}
	};

	const taskCall = async (method: Method, path: string, body?: unknown): Promise<number> => {
		const {sequence} = (await call(method, path, body)) as Readonly<{sequence: number}>;
		return sequence;
	};

	return {
		prepare: async (task) => taskCall('PUT', taskPath(task), task),
		start: async (task) => taskCall('POST', `${taskPath(task)}/start`, {token: task.token}),
		checkpoint: async (task) => taskCall('POST', `${taskPath(task)}/checkpoint`, {token: task.token}),
		throttle: async (task, cores) => taskCall('POST', `${taskPath(task)}/throttle`, {token: task.token, cores}),
		stop: async (task) => taskCall('DELETE', `${taskPath(task)}?token=${task.token}`),
		async renewLease(leaseMs) {
			await call('POST', '/v1/lease', {leaseMs});
		},
		async report(afterSequence, waitMs, signal) {
			const path = `/v1/report?after=${afterSequence}&waitMs=${waitMs}`;
			return (await call('GET', path, undefined, waitMs + REPORT_GRACE_MS, signal)) as WorkerReport;
		},
	};
};
