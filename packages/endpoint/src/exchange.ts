import {Buffer} from 'node:buffer';
import {withDeadline, DeadlineError} from '@bergamotgauge/lifecycle';
import {ServiceError, type Verdict} from '@bergamotgauge/model';
import type {Dispatcher as Undici} from 'undici';
import type {Connection} from './connections.js';
import {MAX_ANSWER_BYTES, REQUEST_ID_HEADER} from './constants.js';
import type {EndpointAnswer, EndpointRequest} from './types.js';

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

	return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
};

const failed = (message: string): ServiceError =>
	new ServiceError(message, {code: 'endpoint-failed', verdict: 'may-have-run'});

/** An answer that ends with its connection cannot be told from one that was cut. */
const hasKnownLength = ({headers, statusCode}: Undici.ResponseData, method: string): boolean =>
	headers['content-length'] !== undefined ||
	headers['transfer-encoding'] !== undefined ||
	statusCode === 204 ||
	statusCode === 304 ||
	method === 'HEAD';

const toFailure = (error: unknown, endpoint: string, connection: Connection): ServiceError => {
	const verdict: Verdict = connection.wasConnected() ? 'may-have-run' : 'not-run';
	if (error instanceof ServiceError) {
		const wasStopped = error.code === 'cancelled' || error.details.timedOut === true;
		return wasStopped && verdict === 'not-run'
			? new ServiceError(error.message, {code: error.code, verdict, details: error.details})
			: error;
	}

	const cause = error instanceof Error ? error : new Error(String(error));
	const isTimeout = cause instanceof DeadlineError;
	return new ServiceError(`endpoint ${endpoint}: ${cause.message}`, {
		code: isTimeout ? 'deadline-exceeded' : 'endpoint-failed',
		verdict,
		cause,
		details: {...(isTimeout && {timedOut: true})},
	});
};

/**
Sends one request on one connection and reads its answer whole. After any error but a refusal the connection must be retired.

@throws {ServiceError} `not-run` when nothing was sent or the endpoint refused the request; `may-have-run` when the answer is missing, cut or another request's.
*/
export const exchange = async ({
	connection,
	endpoint,
	request,
	limitMs,
	signal: outer,
}: Readonly<{
	connection: Connection;
	endpoint: string;
	request: EndpointRequest;
	/** What is left of the caller's deadline. */
	limitMs: number;
	signal: AbortSignal;
}>): Promise<EndpointAnswer> => {
	try {
		return await withDeadline(
			limitMs,
			async (signal) => {
				const response = await connection.client.request({
					method: request.method,
					path: request.path,
					headers: {...request.headers, [REQUEST_ID_HEADER]: request.id, 'request-deadline-ms': String(limitMs)},
					...(request.body.length > 0 && {body: request.body}),
					signal,
				});
				const {headers, statusCode} = response;
				if (headers[REQUEST_ID_HEADER] !== request.id) {
					throw failed(`the answer of endpoint ${endpoint} does not carry the id of the request`);
				}

				if (!hasKnownLength(response, request.method)) {
					throw failed(`the answer of endpoint ${endpoint} has no length`);
				}

				const body = await readWhole(response.body);
				if (statusCode === 503 && headers['request-verdict'] === 'not-run') {
					throw new ServiceError(`endpoint ${endpoint} refused the request`, {
						code: 'endpoint-failed',
						verdict: 'not-run',
						status: 503,
						details: {draining: headers['endpoint-state'] === 'draining'},
					});
				}

				return {endpoint, status: statusCode, headers, body};
			},
			outer,
		);
	} catch (error) {
		throw toFailure(error, endpoint, connection);
	}
};
