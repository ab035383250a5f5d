import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {dropBody, dropFurtherRequests} from './parser.js';
import {createReadTurns} from './read-turns.js';

/** A connection to a listener. */
export type Connection = {
	readonly socket: Socket;
	readonly source: string;
	/** Requests that were read, and their responses until they are sent. */
	readonly unanswered: Map<IncomingMessage, ServerResponse>;
	/** Responses to those of them that run. */
	readonly running: Set<ServerResponse>;
	/** Whether the connection ends once nothing of it runs. */
	isEnding: boolean;
	/** The request whose response says that the connection closes; later ones are not handled. */
	lastRequest: IncomingMessage | undefined;
	/** Whether it waits for its turn to be read. */
	isWaiting: boolean;
	/** Whether nothing more is read from it. */
	isReadingOver: boolean;
	/** Undoes the dropping of bodies. */
	restoreBody: (() => void) | undefined;
	activeMs: number;
};

/** Decides when, and how much of, a connection is read. */
export type ConnectionReads = Readonly<{
	/** Reads from a connection; in a later turn of the event loop if many are read in this one. */
	readAtTurn: (connection: Connection) => void;
	/** Reads no more from a connection until a later turn, once what is being read has been handled. */
	readInNextTurn: (connection: Connection) => void;
	/** Drops the rest of a request's body and what follows it; the response says that the connection closes. */
	endAfter: (connection: Connection, request: IncomingMessage) => void;
}>;

/** A response that is ready no longer counts as running, also while the client does not read it. */
export const isRunning = ({running}: Connection): boolean => [...running].some((response) => !response.writableEnded);

/**
Creates the reading of connections in turns.

@example
```ts
const {readAtTurn} = createConnectionReads(() => performance.now());
readAtTurn(connection);
```
*/
export const createConnectionReads = (now: () => number): ConnectionReads => {
	const turns = createReadTurns({
		now,
		defer(callback) {
			setImmediate(callback);
		},
	});

	/** Reads from a connection whose turn it is, unless something of it runs or it is over by then. */
	const resume = (connection: Connection) => {
		const {socket} = connection;
		connection.isWaiting = false;
		if (socket.destroyed || connection.isReadingOver || isRunning(connection)) {
			return;
		}

		connection.restoreBody?.();
		connection.restoreBody = undefined;
		if (socket.isPaused()) {
			socket.resume();
		}
	};

	return {
		readAtTurn(connection) {
			if (!connection.isWaiting) {
				connection.isWaiting = true;
				turns.request(
					connection.source,
					() => {
						resume(connection);
					},
					() => {
						connection.socket.pause();
					},
				);
			}
		},
		readInNextTurn(connection) {
			if (connection.isWaiting) {
				return;
			}

			connection.isWaiting = true;
			// The stream of a request resumes its socket in the ticks after each piece; microtasks run when those are done.
			queueMicrotask(() => {
				connection.socket.pause();
			});
			turns.requestLater(connection.source, () => {
				resume(connection);
			});
		},
		endAfter(connection, request) {
			const response = connection.unanswered.get(request);
			if (response && !response.headersSent) {
				response.setHeader('Connection', 'close');
			}

			connection.lastRequest = request;
			dropFurtherRequests(connection.socket);
			connection.restoreBody ??= dropBody(connection.socket);
		},
	};
};
