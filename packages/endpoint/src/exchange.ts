import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {ServiceError, type Verdict} from '@bergamotgauge/model';
import type {Dispatcher as Undici} from 'undici';
import type {Connection} from './connections.js';
import {MAX_RESPONSE_BYTES, REQUEST_ID_HEADER} from './constants.js';
import type {EndpointResponse, EndpointRequest} from './types.js';

const endpointFailedError = (message: string): ServiceError =>
	new ServiceError(message, {code: 'endpoint-failed', verdict: 'may-have-run'});

type RawResponse = Readonly<{statusCode: number; headers: IncomingHttpHeaders; body: Uint8Array}>;

/** A response that is delimited by the end of its connection cannot be told from a truncated one. */
const hasKnownLength = ({headers, statusCode}: RawResponse, method: string): boolean =>
	headers['content-length'] !== undefined ||
	headers['transfer-encoding'] !== undefined ||
	statusCode === 204 ||
	statusCode === 304 ||
	method === 'HEAD';

const toFailure = (error: unknown, endpoint: string, connection: Connection): ServiceError => {
	const verdict: Verdict = connection.wasConnected() ? 'may-have-run' : 'not-run';
	if (error instanceof ServiceError) {
		const wasCancelled = error.code === 'cancelled' || error.details.timedOut === true;
		return wasCancelled && verdict === 'not-run'
			? new ServiceError(error.message, {code: error.code, verdict, details: error.details})
			: error;
	}

	const cause = error instanceof Error ? error : new Error(String(error));
	return new ServiceError(`endpoint ${endpoint}: ${cause.message}`, {code: 'endpoint-failed', verdict, cause});
};

const validateResponse = (received: RawResponse, endpoint: string, request: EndpointRequest): EndpointResponse => {
	const {headers, statusCode, body} = received;
	if (headers[REQUEST_ID_HEADER] !== request.id) {
		throw endpointFailedError(`the response of endpoint ${endpoint} does not carry the id of the request`);
	}

	if (!hasKnownLength(received, request.method)) {
		throw endpointFailedError(`the response of endpoint ${endpoint} has neither content-length nor transfer-encoding`);
	}

	if (statusCode === 503 && headers['request-verdict'] === 'not-run') {
		throw new ServiceError(`endpoint ${endpoint} refused the request`, {
			code: 'endpoint-failed',
			verdict: 'not-run',
			status: 503,
			details: {draining: headers['endpoint-state'] === 'draining'},
		});
	}

	return {endpoint, status: statusCode, headers, body};
};

/** Collects a complete response, without the cost of a stream per response. */
const createResponseCollector = (
	finish: (received: RawResponse) => void,
	fail: (error: Error) => void,
): Undici.DispatchHandler => {
	const chunks: Buffer[] = [];
	let size = 0;
	let statusCode = 0;
	let headers: IncomingHttpHeaders = {};
	return {
		onRequestStart: () => undefined,
		onResponseStart(_controller, status, responseHeaders) {
			statusCode = status;
			headers = responseHeaders;
		},
		onResponseData(controller, chunk) {
			size += chunk.length;
			if (size > MAX_RESPONSE_BYTES) {
				controller.abort(
					new ServiceError(`the response exceeds ${MAX_RESPONSE_BYTES} bytes`, {
						code: 'endpoint-failed',
						verdict: 'ran',
					}),
				);
				return;
			}

			chunks.push(chunk);
		},
		onResponseEnd() {
			finish({statusCode, headers, body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)});
		},
		onResponseError(_controller, error) {
			fail(error);
		},
	};
};

export type Exchange = Readonly<{
	response: Promise<EndpointResponse>;
	/** Fails the call with an error and closes its connection, which tells the endpoint of the cancellation. */
	cancel: (reason: Error) => void;
}>;

/**
Sends one request on one connection and reads the complete response. After any error except a refusal the connection must be retired. The connection carries nothing else, so that closing it cancels exactly this call; that costs less than an abort signal passed to undici.

The response promise rejects with a ServiceError: `not-run` when nothing was sent or the endpoint refused the request; `may-have-run` when the response is missing, truncated or belongs to another request.
*/
export const exchange = ({
	connection,
	endpoint,
	request,
	limitMs,
}: Readonly<{
	connection: Connection;
	endpoint: string;
	request: EndpointRequest;
	/** Remaining time until the caller's deadline. */
	limitMs: number;
}>): Exchange => {
	let cancelled: ((reason: Error) => void) | undefined;

	const response = new Promise<EndpointResponse>((resolve, reject) => {
		const fail = (error: unknown) => {
			reject(toFailure(error, endpoint, connection));
		};

		cancelled = (reason) => {
			fail(reason);
			connection.client.destroy(reason, () => undefined);
		};

		const collector = createResponseCollector((received) => {
			try {
				resolve(validateResponse(received, endpoint, request));
			} catch (error) {
				fail(error);
			}
		}, fail);
		connection.client.dispatch(
			{
				method: request.method,
				path: request.path,
				headers: {...request.headers, [REQUEST_ID_HEADER]: request.id, 'request-deadline-ms': String(limitMs)},
				body: request.body.length > 0 ? request.body : null,
			},
			collector,
		);
	});
	return {
		response,
		cancel(reason) {
			cancelled?.(reason);
		},
	};
};
