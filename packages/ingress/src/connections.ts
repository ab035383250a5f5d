import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {createRefusal} from './body.js';
import {CROWDED_SHARE} from './constants.js';
import {createConnectionReads, isRunning, type Connection} from './connection-reads.js';
import {dropFurtherRequests} from './parser.js';
import type {ClosingCause, IngressLimits} from './types.js';

export type Connections = Readonly<{
	/** Watches the connections of a server, of which there may be `maxConnections`. */
	watch: (server: Server, maxConnections: number) => void;
	/** Notes that the request runs: until its response, its connection is not closed and nothing more is read from it. */
	passOn: (request: IncomingMessage, response: ServerResponse) => void;
	/** Whether a request of the connection runs, or was read in full and may run. */
	mayRun: (socket: Socket) => boolean;
	/** Notes that the response to a request says that the connection closes: the rest of its body is dropped, and later requests are not handled. */
	endAfter: (request: IncomingMessage) => void;
	/** Whether the connection ends after the response to the request. */
	isLast: (request: IncomingMessage) => boolean;
	/** Reads no more from the connection until a later turn, once what is being read has been handled. */
	awaitTurn: (socket: Socket) => void;
	/** Drops what follows on the connection, and goes on reading it in a later turn, with one piece of the body for each read. */
	dropRest: (request: IncomingMessage) => void;
	/** Whether a request of the connection runs. */
	isRunning: (socket: Socket) => boolean;
	/** Whether the connection waits for its turn to be read. */
	isWaiting: (socket: Socket) => boolean;
	/** Drops what follows on the connection, and reads no more from it. */
	stopReading: (request: IncomingMessage) => void;
	/** Whether the request is to be handled; the connections of others are being closed. */
	isAccepted: (request: IncomingMessage) => boolean;
	/** Closes a connection that made no progress for too long, after the responses to what runs. */
	timeOut: (socket: Socket) => void;
	count: () => number;
}>;

type ConnectionsOptions = Readonly<{
	limits: Pick<IngressLimits, 'maxPipelined' | 'maxUnanswered'>;
	now: () => number;
	onClosed: (cause: ClosingCause) => void;
}>;

/** The connection that gives way to a new one: of the source with the most connections, the one that was active least recently. */
const chooseVictim = (connections: ReadonlySet<Connection>, newcomer: Connection): Connection | undefined => {
	const counts = new Map<string, number>();
	for (const {source} of connections) {
		counts.set(source, (counts.get(source) ?? 0) + 1);
	}

	let victim: Connection | undefined;
	for (const connection of connections) {
		if (connection === newcomer || isRunning(connection) || connection.isEnding) {
			continue;
		}

		const difference = (counts.get(connection.source) ?? 0) - (victim ? (counts.get(victim.source) ?? 0) : 0);
		if (difference > 0 || (difference === 0 && victim && connection.activeMs < victim.activeMs)) {
			victim = connection;
		}
	}

	return victim;
};

/**
Keeps account of the connections of a process, and closes those that take too much; never one with a request that runs.

@example
```ts
const connections = createConnections({limits, now: () => performance.now(), onClosed});
connections.watch(server, limits.maxConnections);
```
*/
export const createConnections = ({limits, now, onClosed}: ConnectionsOptions): Connections => {
	const bySocket = new WeakMap<Socket, Connection>();
	const {readAtTurn, readInNextTurn, endAfter} = createConnectionReads(now);
	let total = 0;
	let unanswered = 0;

	const end = (connection: Connection, cause: ClosingCause) => {
		if (!connection.isEnding) {
			connection.isEnding = true;
			onClosed(cause);
		}

		if (!isRunning(connection)) {
			connection.socket.destroy();
		}
	};

	const watchRequest = (request: IncomingMessage, response: ServerResponse) => {
		const connection = bySocket.get(request.socket);
		if (!connection) {
			return;
		}

		connection.unanswered.set(request, response);
		connection.activeMs = now();
		unanswered += 1;
		if (connection.unanswered.size > (unanswered > limits.maxUnanswered ? 1 : limits.maxPipelined)) {
			// Of the requests in one read, none runs before the next tick.
			dropFurtherRequests(request.socket);
			end(connection, 'pipelined');
		}

		response.once('close', () => {
			if (connection.unanswered.delete(request)) {
				unanswered -= 1;
				connection.activeMs = now();
			}
		});
	};

	return {
		watch(server, maxConnections) {
			const connections = new Set<Connection>();
			server.maxConnections = maxConnections;
			server.on('drop', () => {
				onClosed('connections');
			});
			server.prependListener('connection', (socket: Socket) => {
				const connection: Connection = {
					socket,
					source: socket.remoteAddress ?? '',
					unanswered: new Map(),
					running: new Set(),
					isEnding: false,
					lastRequest: undefined,
					isWaiting: false,
					isReadingOver: false,
					restoreBody: undefined,
					activeMs: now(),
				};
				bySocket.set(socket, connection);
				connections.add(connection);
				total += 1;
				socket.once('close', () => {
					connections.delete(connection);
					total -= 1;
					connection.restoreBody?.();
					// Responses that waited behind an earlier one get no event when their connection ends.
					unanswered -= connection.unanswered.size;
					connection.unanswered.clear();
				});
				if (connections.size > maxConnections * CROWDED_SHARE) {
					const victim = chooseVictim(connections, connection);
					if (victim) {
						end(victim, 'connections');
					}
				}
			});
			// Called after Node.js has set up its parser, which a pause before would not reach.
			server.on('connection', (socket: Socket) => {
				const connection = bySocket.get(socket);
				if (connection) {
					readAtTurn(connection);
				}
			});
			server.prependListener('request', watchRequest);
		},
		passOn(request, response) {
			const {socket} = request;
			const connection = bySocket.get(socket);
			if (!connection || response.closed) {
				return;
			}

			if (connection.isEnding) {
				throw createRefusal('memory');
			}

			connection.running.add(response);
			// At most one more read of pipelined requests can wait behind this one.
			socket.pause();
			response.once('close', () => {
				connection.running.delete(response);
				if (isRunning(connection)) {
					return;
				}

				if (connection.isEnding) {
					socket.destroySoon();
				} else {
					readAtTurn(connection);
				}
			});
		},
		mayRun(socket) {
			const connection = bySocket.get(socket);
			return (
				connection !== undefined &&
				(isRunning(connection) || [...connection.unanswered.keys()].some(({complete}) => complete))
			);
		},
		endAfter(request) {
			const connection = bySocket.get(request.socket);
			if (connection) {
				endAfter(connection, request);
			}
		},
		isLast: (request) => !request.complete || bySocket.get(request.socket)?.lastRequest === request,
		awaitTurn(socket) {
			const connection = bySocket.get(socket);
			if (connection) {
				readInNextTurn(connection);
			}
		},
		dropRest(request) {
			const connection = bySocket.get(request.socket);
			if (connection) {
				endAfter(connection, request);
				readInNextTurn(connection);
			}
		},
		isAccepted({socket}) {
			const connection = bySocket.get(socket);
			return !connection?.isEnding && !connection?.lastRequest;
		},
		isRunning(socket) {
			const connection = bySocket.get(socket);
			return connection !== undefined && isRunning(connection);
		},
		isWaiting: (socket) => bySocket.get(socket)?.isWaiting === true,
		stopReading(request) {
			const connection = bySocket.get(request.socket);
			if (connection) {
				endAfter(connection, request);
				connection.isReadingOver = true;
			}

			request.socket.pause();
		},
		timeOut(socket) {
			const connection = bySocket.get(socket);
			if (connection) {
				end(connection, connection.unanswered.size > 0 ? 'timeout' : 'idle');
			}
		},
		count: () => total,
	};
};
