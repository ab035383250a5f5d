import {DeadlineError, withDeadline} from '@bergamotgauge/lifecycle';
import {ServiceError, type Declarations, type ErrorCode, type Verdict} from '@bergamotgauge/model';
import {request} from 'undici';
import {OPERATOR_CALL_DEADLINE_MS} from './constants.js';
import type {BundleResponse, Status} from './types.js';

/** Client of the operator and caller interfaces of an instance, used by the command line. */
export type OperatorClient = Readonly<{
	call: (method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown) => Promise<unknown>;
	bundle: () => Promise<BundleResponse>;
	apply: (basedOn: number, declarations: Declarations) => Promise<number>;
	status: () => Promise<Status>;
}>;

type Method = Parameters<OperatorClient['call']>[0];

type RawResponse = Readonly<{status: number; text: string}>;

type ErrorBody = Readonly<{error?: string; code?: string; verdict?: string; details?: Record<string, unknown>}>;

const toConnectionError = (url: string, thrown: unknown): ServiceError => {
	const cause = thrown instanceof Error ? thrown : new Error(String(thrown));
	if (cause instanceof DeadlineError) {
		return new ServiceError(`${url} did not respond within ${OPERATOR_CALL_DEADLINE_MS} ms`, {
			code: 'deadline-exceeded',
			verdict: 'may-have-run',
		});
	}

	const isRefused = 'code' in cause && cause.code === 'ECONNREFUSED';
	return new ServiceError(`${url} does not answer`, {
		code: 'peer-unavailable',
		verdict: isRefused ? 'not-run' : 'may-have-run',
		cause,
	});
};

const parseResponse = (url: string, {status, text}: RawResponse): unknown => {
	let body: ErrorBody;
	try {
		body = JSON.parse(text) as ErrorBody;
	} catch {
		throw new ServiceError(
			`${url} returned status ${status} with a body that is not JSON; check that it is the URL of an instance`,
			{
				code: 'internal',
				verdict: 'may-have-run',
			},
		);
	}

	if (status >= 400) {
		throw new ServiceError(body.error ?? `status ${status}`, {
			code: (body.code ?? 'internal') as ErrorCode,
			verdict: (body.verdict ?? 'may-have-run') as Verdict,
			status,
			...(body.details && {details: body.details}),
		});
	}

	return body;
};

/**
Creates a client of an instance's HTTP interface.

@example
```ts
const client = createOperatorClient({url: 'http://127.0.0.1:8080', token});
const status = await client.status();
```

@throws {ServiceError} with the code and verdict that the instance returned, or `peer-unavailable` or `deadline-exceeded`.
*/
export const createOperatorClient = ({url, token}: Readonly<{url: string; token: string}>): OperatorClient => {
	const send = async (method: Method, path: string, body: unknown, signal: AbortSignal): Promise<RawResponse> => {
		const response = await request(`${url}${path}`, {
			method,
			signal,
			headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
			...(body !== undefined && {body: JSON.stringify(body)}),
		});
		return {status: response.statusCode, text: await response.body.text()};
	};

	const call: OperatorClient['call'] = async (method, path, body) => {
		let response: RawResponse;
		try {
			response = await withDeadline(OPERATOR_CALL_DEADLINE_MS, async (signal) => send(method, path, body, signal));
		} catch (error) {
			throw toConnectionError(url, error);
		}

		return parseResponse(url, response);
	};

	return {
		call,
		bundle: async () => (await call('GET', '/v1/operator/bundle')) as BundleResponse,
		async apply(basedOn, declarations) {
			const response = (await call('PUT', '/v1/operator/bundle', {basedOn, declarations})) as Readonly<{
				generation: number;
			}>;
			return response.generation;
		},
		status: async () => (await call('GET', '/v1/operator/status')) as Status,
	};
};
