import {createServer, type AddressInfo, type Server, type Socket} from 'node:net';

export type Behaviour =
	| 'answer'
	| 'refuse'
	| 'drain'
	| 'die-before-reading'
	| 'die-after-running'
	/** Runs the request and never responds; a new connection works again. */
	| 'go-silent'
	/** Runs the request and responds after 3 s. */
	| 'stall'
	| 'answer-twice'
	| 'answer-cut'
	| 'answer-other-id'
	| 'answer-without-length';

/** An endpoint on raw sockets, so that it can violate the protocol. */
export type FakeEndpoint = Readonly<{
	id: string;
	address: string;
	/** Behaviours for the next requests, in order; `answer` once the list is used up. */
	script: Behaviour[];
	runs: () => number;
	/** Bodies of the requests that ran, in order. */
	bodies: readonly string[];
	connections: () => number;
	/** Connections that the client closed before the response was sent. */
	abandoned: () => number;
	close: () => Promise<void>;
}>;

const STALL_MS = 3000;

const formatResponse = (id: string, body: string, extraHeaders = '', status = '200 OK'): string =>
	`HTTP/1.1 ${status}\r\nrequest-id: ${id}\r\n${extraHeaders}content-length: ${body.length}\r\n\r\n${body}`;

/** Starts a fake endpoint on port 0. Its response echoes the request body. */
export const startFakeEndpoint = async (id: string): Promise<FakeEndpoint> => {
	const script: Behaviour[] = [];
	const bodies: string[] = [];
	const sockets = new Set<Socket>();
	let opened = 0;
	let abandoned = 0;

	const respond = (socket: Socket, requestId: string, body: string) => {
		const behaviour = script.shift() ?? 'answer';
		const refusal = 'request-verdict: not-run\r\n';
		if (behaviour === 'refuse' || behaviour === 'drain') {
			const state = behaviour === 'drain' ? 'endpoint-state: draining\r\n' : '';
			socket.write(formatResponse(requestId, '', refusal + state, '503 Refused'));
			return;
		}

		if (behaviour === 'die-before-reading') {
			socket.destroy();
			return;
		}

		bodies.push(body);
		const response = formatResponse(requestId, body);
		switch (behaviour) {
			case 'die-after-running': {
				socket.destroy();
				break;
			}

			case 'go-silent': {
				break;
			}

			case 'stall': {
				setTimeout(() => {
					socket.write(response);
				}, STALL_MS);
				break;
			}

			case 'answer-twice': {
				socket.write(response + response);
				break;
			}

			case 'answer-cut': {
				socket.end(response.slice(0, -1));
				break;
			}

			case 'answer-other-id': {
				socket.write(formatResponse('another', body));
				break;
			}

			case 'answer-without-length': {
				socket.end(`HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nconnection: close\r\n\r\n${body}`);
				break;
			}

			case 'answer': {
				socket.write(response);
			}
		}
	};

	const serve = (socket: Socket) => {
		let text = '';
		let isResponsePending = false;
		opened += 1;
		sockets.add(socket);
		socket.on('data', (data) => {
			text += data.toString();
			const end = text.indexOf('\r\n\r\n');
			const length = Number(/content-length: (?<length>\d+)/iv.exec(text)?.groups?.length ?? 0);
			if (end !== -1 && text.length >= end + 4 + length) {
				const requestId = /request-id: (?<id>\S+)/iv.exec(text)?.groups?.id ?? '';
				const body = text.slice(end + 4, end + 4 + length);
				text = '';
				isResponsePending = true;
				respond(socket, requestId, body);
				isResponsePending = socket.bytesWritten === 0;
			}
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			sockets.delete(socket);
			abandoned += isResponsePending ? 1 : 0;
		});
	};

	const server: Server = createServer(serve);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		id,
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		script,
		runs: () => bodies.length,
		bodies,
		connections: () => opened,
		abandoned: () => abandoned,
		async close() {
			const closed = new Promise<void>((resolve) => {
				server.close(() => {
					resolve();
				});
			});
			for (const socket of sockets) {
				socket.destroy();
			}

			await closed;
		},
	};
};
