import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

const STATUS_BY_PARSE_ERROR: Readonly<Record<string, string>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Tracks which connections have a request that was read in full and is not answered yet. */
const createConnectionTracker = () => {
	const unanswered = new WeakMap<Duplex, Set<IncomingMessage>>();
	return {
		add(request: IncomingMessage, response: ServerResponse) {
			const requests = unanswered.get(request.socket) ?? new Set();
			unanswered.set(request.socket, requests.add(request));
			response.once('close', () => {
				requests.delete(request);
			});
		},
		mayBeRunning: (socket: Duplex): boolean => [...(unanswered.get(socket) ?? [])].some(({complete}) => complete),
	};
};

/**
Responds to requests that cannot be read or parsed; none of them has run.

A caller would take the response for that to an earlier request on the connection which is still running, so the connection then ends without a response.

@example
```ts
refuseUnreadableRequests(server, ['request-verdict: not-run']);
```

@param headers Header lines added to the response.
*/
export const refuseUnreadableRequests = (server: Server, headers: readonly string[] = []): void => {
	const connections = createConnectionTracker();
	server.prependListener('request', connections.add);
	server.on('clientError', (error, socket) => {
		if (!socket.writable || connections.mayBeRunning(socket)) {
			socket.destroy();
			return;
		}

		const code = 'code' in error ? String(error.code) : '';
		const status = STATUS_BY_PARSE_ERROR[code] ?? '400 Bad Request';
		const lines = [`HTTP/1.1 ${status}`, 'connection: close', ...headers, 'content-length: 0'];
		socket.end(`${lines.join('\r\n')}\r\n\r\n`);
	});
};
