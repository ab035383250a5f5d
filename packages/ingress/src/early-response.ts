import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Connections} from './connections.js';
import {LINGER_BYTES, LINGER_MS} from './constants.js';

/** A response that was decided before the end of the body. */
export type EarlyResponse = Readonly<{status: number; body: unknown}>;

/**
Responds to a request before the end of its body, and closes the connection. The rest of the body is read and dropped for a limited time and size: a connection that is closed with unread bytes is reset, and its client may not get the response. Nothing is read while an earlier request of the connection runs.

Node.js would handle the requests that follow, and let their responses overtake those that wait for this one's; they are dropped.

@example
```ts
respondEarly(request, response, {status: 503, body: {verdict: 'not-run'}}, connections);
```
*/
export const respondEarly = (
	request: IncomingMessage,
	response: ServerResponse,
	{status, body}: EarlyResponse,
	connections: Pick<Connections, 'dropRest' | 'isRunning' | 'stopReading'>,
): void => {
	const {socket} = request;
	const text = JSON.stringify(body);
	response.writeHead(status, {
		'Content-Type': 'application/json; charset=utf-8',
		'Content-Length': Buffer.byteLength(text),
		Connection: 'close',
	});
	response.write(text);
	const startBytes = socket.bytesRead;
	const end = () => {
		clearTimeout(timer);
		request.off('data', drop);
		connections.stopReading(request);
		response.end();
	};

	const drop = () => {
		if (socket.bytesRead - startBytes >= LINGER_BYTES) {
			end();
		} else {
			connections.dropRest(request);
		}
	};

	const timer = setTimeout(end, LINGER_MS);
	connections.dropRest(request);
	if (connections.isRunning(socket)) {
		end();
		return;
	}

	request.on('data', drop);
	request.once('end', end);
	request.once('close', end);
};
