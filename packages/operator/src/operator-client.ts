import {withDeadline} from '@bergamotgauge/lifecycle';
import {ServiceError, type Declarations, type ErrorCode, type Verdict} from '@bergamotgauge/model';
import {request} from 'undici';
import {OPERATOR_CALL_DEADLINE_MS} from './constants.js';
import type {BundleReply, Status} from './types.js';

/** Client of the operator and caller interfaces, for the command line. */
export type OperatorClient = Readonly<{
	call: (method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown) => Promise<unknown>;
	bundle: () => Promise<BundleReply>;
	apply: (basedOn: number, declarations: Declarations) => Promise<number>;
	status: () => Promise<Status>;
}>;

type ErrorBody = Readonly<{error?: string; code?: string; verdict?: string; details?: Record<string, unknown>}>;

/**
Creates a client of an instance's HTTP interface.

@example
```ts
const client = createOperatorClient({url: 'http://127.0.0.1:8080', token});
const status = await client.status();
```

@throws {ServiceError} with the code and verdict that the instance gave.
*/
export const createOperatorClient = ({url, token}: Readonly<{url: string; token: string}>): OperatorClient => {
	const call: OperatorClient['call'] = async (method, path, body) =>
		withDeadline(OPERATOR_CALL_DEADLINE_MS, async (signal) => {
			const response = await request(`${url}${path}`, {
				method,
				signal,
				headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
				...(body !== undefined && {body: JSON.stringify(body)}),
			});
			const answer = (await response.body.json()) as ErrorBody;
			if (response.statusCode >= 400) {
				throw new ServiceError(answer.error ?? `status ${response.statusCode}`, {
					code: (answer.code ?? 'internal') as ErrorCode,
					verdict: (answer.verdict ?? 'may-have-run') as Verdict,
					status: response.statusCode,
					...(answer.details && {details: answer.details}),
				});
			}

			return answer;
		});

	return {
		call,
		bundle: async () => (await call('GET', '/v1/operator/bundle')) as BundleReply,
		async apply(basedOn, declarations) {
			const reply = (await call('PUT', '/v1/operator/bundle', {basedOn, declarations})) as Readonly<{
				generation: number;
			}>;
			return reply.generation;
		},
		status: async () => (await call('GET', '/v1/operator/status')) as Status,
	};
};
