import {ServiceError, toServiceError} from '@bergamotgauge/model';
import type {ErrorRequestHandler, Response} from 'express';
import {VERDICT_HEADER} from './constants.js';

type BodyParserError = Error & Readonly<{status: number; type: string}>;

const isBodyParserError = (error: unknown): error is BodyParserError =>
	error instanceof Error && 'type' in error && 'status' in error && typeof error.status === 'number';

const fromBodyParser = (error: BodyParserError): ServiceError =>
	new ServiceError(error.message, {
		code: error.status === 413 ? 'too-large' : 'bad-request',
		verdict: 'not-run',
		status: error.status,
	});

/** Writes an error with its verdict and the time after which to retry. */
export const sendError = (response: Response, error: ServiceError): void => {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	if (error.retryAfterMs !== undefined) {
		response.set('retry-after', String(Math.ceil(error.retryAfterMs / 1000)));
	}

	if (!response.req.complete) {
		// The rest of an unread body is not worth reading for the sake of the connection.
		response.set('connection', 'close');
	}

	response
		.status(error.status)
		.set(VERDICT_HEADER, error.verdict)
		.json({
			error: error.message,
			code: error.code,
			verdict: error.verdict,
			...(error.retryAfterMs !== undefined && {retryAfterMs: error.retryAfterMs}),
			...(Object.keys(error.details).length > 0 && {details: error.details}),
		});
};

/**
Gives an express error handler that answers with the verdict of the error.

@example
```ts
app.use(createErrorHandler((error) => log.error('request-failed', {error: error.message})));
```
*/
export const createErrorHandler =
	(onInternal: (error: ServiceError) => void): ErrorRequestHandler =>
	(thrown: unknown, _request, response, _next) => {
		const error = isBodyParserError(thrown) ? fromBodyParser(thrown) : toServiceError(thrown, 'may-have-run');
		if (error.code === 'internal') {
			onInternal(error);
		}

		sendError(response, error);
	};
