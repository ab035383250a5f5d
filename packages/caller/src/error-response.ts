import {Buffer} from 'node:buffer';
import {ServiceError, toServiceError} from '@bergamotgauge/model';
import type {ErrorRequestHandler, Response} from 'express';
import {LINGER_MS, MAX_DISCARDED_BYTES, VERDICT_HEADER} from './constants.js';
import {createFailureLimit} from './failure-limit.js';

type ClientError = Error & Readonly<{status: number}>;

/** Errors of express and its body parsers for malformed requests. */
const isClientError = (error: unknown): error is ClientError =>
	error instanceof Error &&
	!(error instanceof ServiceError) &&
	'status' in error &&
	typeof error.status === 'number' &&
	error.status >= 400 &&
	error.status < 500;

const fromClientError = (error: ClientError): ServiceError =>
	new ServiceError(error.message, {
		code: error.status === 413 ? 'too-large' : 'bad-request',
		verdict: 'not-run',
		status: error.status,
	});

/**
Sends the complete response, then reads and discards the rest of the request before closing the connection (lingering close). A client whose connection is reset while it still writes does not read the response.
*/
const sendAndLinger = (response: Response, payload: string): void => {
	const request = response.req;
	let discarded = 0;
	const finish = () => {
		clearTimeout(timer);
		response.end();
	};

	const timer = setTimeout(finish, LINGER_MS);
	request.on('data', (chunk: Uint8Array) => {
		discarded += chunk.length;
		if (discarded > MAX_DISCARDED_BYTES) {
			finish();
		}
	});
	request.once('end', finish);
	request.once('close', finish);
	response.set('connection', 'close').set('content-length', String(Buffer.byteLength(payload)));
	response.write(payload);
	request.resume();
};

/** Sends an error response with its verdict and retry time. */
export const sendError = (response: Response, error: ServiceError): void => {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	if (error.retryAfterMs !== undefined) {
		response.set('retry-after', String(Math.ceil(error.retryAfterMs / 1000)));
	}

	response.status(error.status).set(VERDICT_HEADER, error.verdict).type('json');
	const payload = JSON.stringify({
		error: error.message,
		code: error.code,
		verdict: error.verdict,
		...(error.retryAfterMs !== undefined && {retryAfterMs: error.retryAfterMs}),
		...(Object.keys(error.details).length > 0 && {details: error.details}),
	});
	if (response.req.complete) {
		response.send(payload);
	} else {
		sendAndLinger(response, payload);
	}
};

/**
Creates an express error handler that responds with the verdict of the error.

@example
```ts
app.use(createErrorHandler((error) => log.error('request-failed', {error: error.message})));
```
*/
export const createErrorHandler = (onInternalError: (error: ServiceError) => void): ErrorRequestHandler => {
	const limitFailures = createFailureLimit();
	return (thrown: unknown, request, response, _next) => {
		const error = isClientError(thrown) ? fromClientError(thrown) : toServiceError(thrown, 'may-have-run');
		if (error.code === 'internal') {
			onInternalError(error);
		}

		const isFailure = error.code === 'unauthenticated';
		sendError(response, isFailure ? limitFailures(error, request.socket.remoteAddress) : error);
	};
};
