import type {Server} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import type {Connections} from './connections.js';

const TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';

const STATUS_BY_PARSE_ERROR: Readonly<Record<string, string>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	[TIMEOUT]: '408 Request Timeout',
};

export type ClientErrorOptions = Readonly<{
	connections: Pick<Connections, 'isWaiting' | 'mayRun' | 'timeOut'>;
	/** Header lines added to the response. */
	headers: readonly string[];
}>;

/**
Responds to requests that cannot be read or parsed, or whose head or body takes too long; none of them has run.

A caller would take the response for that to an earlier request on the connection which is still running. When bytes cannot be read, the connection then ends without a response; when a later request takes too long, it ends after the response to the earlier one.

@example
```ts
refuseUnreadableRequests(server, {connections, headers: ['request-verdict: not-run']});
```
*/
export const refuseUnreadableRequests = (server: Server, {connections, headers}: ClientErrorOptions): void => {
	server.on('clientError', (error, stream: Duplex) => {
		const socket = stream as Socket;
		const code = 'code' in error ? String(error.code) : '';
		if (code === TIMEOUT && connections.isWaiting(socket)) {
			// The client may have sent everything in time.
			return;
		}

		if (code === TIMEOUT && connections.mayRun(socket)) {
			connections.timeOut(socket);
			return;
		}

		// A connection on which nothing was ever sent gets no response that nobody asked for.
		if (!socket.writable || connections.mayRun(socket) || socket.bytesRead === 0) {
			socket.destroy();
			return;
		}

		const status = STATUS_BY_PARSE_ERROR[code] ?? '400 Bad Request';
		const lines = [`HTTP/1.1 ${status}`, 'connection: close', ...headers, 'content-length: 0'];
		socket.end(`${lines.join('\r\n')}\r\n\r\n`);
	});
};
