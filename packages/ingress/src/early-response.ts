import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {LINGER_BYTES, LINGER_MS, LINGER_PIECE_BYTES} from './constants.js';

/** A response that was decided before the end of the body. */
export type EarlyResponse = Readonly<{status: number; body: unknown}>;

/**
Responds to a request before the end of its body, and closes the connection. The rest of the body is read and dropped for a limited time and size: a connection that is closed with unread bytes is reset, and its client may not get the response.

@example
```ts
respondEarly(request, response, {status: 503, body: {verdict: 'not-run'}});
```
*/
export const respondEarly = (
	request: IncomingMessage,
	response: ServerResponse,
	{status, body}: EarlyResponse,
): void => {
	const text = JSON.stringify(body);
	response.writeHead(status, {
		'Content-Type': 'application/json; charset=utf-8',
		'Content-Length': Buffer.byteLength(text),
		Connection: 'close',
	});
	response.write(text);
	let dropped = 0;
	const end = () => {
		clearTimeout(timer);
		request.off('data', drop);
		request.socket.pause();
		response.end();
	};

	const drop = (piece: Uint8Array) => {
		dropped += Math.max(piece.length, LINGER_PIECE_BYTES);
		if (dropped > LINGER_BYTES) {
			end();
		}
	};

	const timer = setTimeout(end, LINGER_MS);
	if (request.socket.isPaused()) {
		end();
		return;
	}

	request.on('data', drop);
	request.once('end', end);
	request.once('close', end);
};
