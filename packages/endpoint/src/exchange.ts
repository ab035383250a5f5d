import {Buffer} from 'node:buffer';
import {withDeadline, DeadlineError} from '@bergamotgauge/lifecycle';
import {ServiceError, type Verdict} from '@bergamotgauge/model';
import type {Client} from 'undici';
import {MAX_ANSWER_BYTES, REQUEST_ID_HEADER} from './constants.js';
import type {EndpointAnswer, EndpointRequest} from './types.js';

const NEVER_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

const verdictOf = (error: Error): Verdict =>
	'code' in error && NEVER_SENT_CODES.has(String(error.code)) ? 'not-run' : 'may-have-run';

const readWhole = async (body: AsyncIterable<Buffer>): Promise<Uint8Array> => {
	const chunks: Buffer[] = [];
	let size = 0;
	for await (const chunk of body) {
		size += chunk.length;
		if (size > MAX_ANSWER_BYTES) {
			throw new ServiceError(`the answer exceeds ${MAX_ANSWER_BYTES} bytes`, {code: 'endpoint-failed', verdict: 'ran'});
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

/**
Sends one request to one endpoint and reads its answer whole.

@throws {ServiceError} `not-run` when nothing was sent or the endpoint refused the request; `may-have-run` when the answer is missing or cut.
*/
export const exchange = async (
	client: Client,
	endpoint: string,
	request: EndpointRequest,
	limitMs: number,
	outer: AbortSignal,
): Promise<EndpointAnswer> => {
	try {
		return await withDeadline(
			limitMs,
			async (signal) => {
				const response = await client.request({
					method: request.method,
					path: request.path,
					headers: {...request.headers, [REQUEST_ID_HEADER]: request.id, 'request-deadline-ms': String(limitMs)},
					...(request.body.length > 0 && {body: request.body}),
					signal,
				});
				const body = await readWhole(response.body);
				if (response.headers[REQUEST_ID_HEADER] !== request.id) {
					throw new ServiceError('the answer does not carry the id of the request', {
						code: 'endpoint-failed',
						verdict: 'may-have-run',
					});
				}

				if (response.statusCode === 503 && response.headers['request-verdict'] === 'not-run') {
					throw new ServiceError(`endpoint ${endpoint} refused the request`, {
						code: 'endpoint-failed',
						verdict: 'not-run',
						status: 503,
						details: {draining: response.headers['endpoint-state'] === 'draining'},
					});
				}

				return {endpoint, status: response.statusCode, headers: response.headers, body};
			},
			outer,
		);
	} catch (error) {
		if (error instanceof ServiceError) {
			throw error;
		}

		const cause = error instanceof Error ? error : new Error(String(error));
		throw new ServiceError(`endpoint ${endpoint}: ${cause.message}`, {
			code: cause instanceof DeadlineError ? 'deadline-exceeded' : 'endpoint-failed',
			verdict: verdictOf(cause),
			cause,
		});
	}
};
