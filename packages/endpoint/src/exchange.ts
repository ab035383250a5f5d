import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {ServiceError, type Verdict} from '@bergamotgauge/model';
import type {Dispatcher as Undici} from 'undici';
import type {Connection} from './connections.js';
import {MAX_ANSWER_BYTES, REQUEST_ID_HEADER} from './constants.js';
import type {EndpointAnswer, EndpointRequest} from './types.js';

const failed = (message: string): ServiceError =>
	new ServiceError(message, {code: 'endpoint-failed', verdict: 'may-have-run'});

type Received = Readonly<{statusCode: number; headers: IncomingHttpHeaders; body: Uint8Array}>;

/** An answer that ends with its connection cannot be told from one that was cut. */
const hasKnownLength = ({headers, statusCode}: Received, method: string): boolean =>
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
	return new ServiceError(`endpoint ${endpoint}: ${cause.message}`, {code: 'endpoint-failed', verdict, cause});
};

const checkAnswer = (received: Received, endpoint: string, request: EndpointRequest): EndpointAnswer => {
	const {headers, statusCode, body} = received;
	if (headers[REQUEST_ID_HEADER] !== request.id) {
		throw failed(`the answer of endpoint ${endpoint} does not carry the id of the request`);
	}

	if (!hasKnownLength(received, request.method)) {
		throw failed(`the answer of endpoint ${endpoint} has no length`);
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

/** Collects an answer whole, without a stream for each. */
const createCollector = (
	finish: (received: Received) => void,
	fail: (error: Error) => void,
): Undici.DispatchHandler => {
	const chunks: Buffer[] = [];
	let size = 0;
	let statusCode = 0;
	let headers: IncomingHttpHeaders = {};
	return {
		onRequestStart: () => undefined,
		onResponseStart(_controller, status, received) {
			statusCode = status;
			headers = received;
		},
		onResponseData(controller, chunk) {
			size += chunk.length;
			if (size > MAX_ANSWER_BYTES) {
				controller.abort(
					new ServiceError(`the answer exceeds ${MAX_ANSWER_BYTES} bytes`, {code: 'endpoint-failed', verdict: 'ran'}),
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
	answer: Promise<EndpointAnswer>;
	/** Ends the call with an error and closes its connection, which the endpoint sees. */
	cancel: (reason: Error) => void;
}>;

/**
Sends one request on one connection and reads its answer whole. After any error but a refusal the connection must be retired. The connection carries nothing else, so that closing it cancels exactly this call; that costs less than a signal of undici.

The answer fails with a ServiceError: `not-run` when nothing was sent or the endpoint refused the request; `may-have-run` when the answer is missing, cut or another request's.
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
	/** What is left of the caller's deadline. */
	limitMs: number;
}>): Exchange => {
	let cancelled: ((reason: Error) => void) | undefined;

	const answer = new Promise<EndpointAnswer>((resolve, reject) => {
		const fail = (error: unknown) => {
			reject(toFailure(error, endpoint, connection));
		};

		cancelled = (reason) => {
			fail(reason);
			connection.client.destroy(reason, () => undefined);
		};

		const collector = createCollector((received) => {
			try {
				resolve(checkAnswer(received, endpoint, request));
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
		answer,
		cancel(reason) {
			cancelled?.(reason);
		},
	};
};
