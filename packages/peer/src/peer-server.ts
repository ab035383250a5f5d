import {createServer, type AddressInfo, type Socket} from 'node:net';
import type {Lifecycle} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {Log} from '@bergamotgauge/telemetry';
import {createFrameReader, encodeFrame} from './frame.js';
import type {Frame, Handlers} from './types.js';

export type PeerServerOptions = Readonly<{
	host: string;
	port: number;
	handlers: Handlers;
	lifecycle: Lifecycle;
	log: Log;
	/** Connections beyond this number are closed at once; unlimited when it is missing. */
	maxConnections?: number;
	/** Larger frames are refused. */
	maxFrameBytes?: number;
	/** A connection without traffic for this long is closed; 0 keeps it open. */
	idleMs?: number;
}>;

const handleRequest = async (
	frame: Extract<Frame, {kind: 'request'}>,
	handlers: Handlers,
	from: string,
): Promise<Frame> => {
	const handler = handlers.requests[frame.method];
	if (!handler) {
		const error = {code: 'bad-request', verdict: 'not-run', message: `unknown method ${frame.method}`};
		return {kind: 'response', id: frame.id, ok: false, error};
	}

	try {
		return {kind: 'response', id: frame.id, ok: true, body: await handler(frame.body, from)};
	} catch (error) {
		const {code, verdict, message, status, retryAfterMs} = toServiceError(error, 'may-have-run');
		return {
			kind: 'response',
			id: frame.id,
			ok: false,
			error: {code, verdict, message, status, ...(retryAfterMs !== undefined && {retryAfterMs})},
		};
	}
};

const serveConnection = (socket: Socket, {handlers, log, maxFrameBytes, idleMs = 0}: PeerServerOptions): void => {
	const reader = createFrameReader(maxFrameBytes);
	const from = `${socket.remoteAddress}:${socket.remotePort}`;

	const handleFrame = async (frame: Frame) => {
		if (frame.kind === 'event') {
			handlers.events[frame.method]?.(frame.body);
		} else if (frame.kind === 'request') {
			const response = encodeFrame(await handleRequest(frame, handlers, from));
			if (!socket.destroyed) {
				socket.write(response);
			}
		}
	};

	/** Closes the connection of a frame that can't be read, handled or answered; the peer opens a new one. */
	const refuseFrame = (error: unknown) => {
		log.warn('peer-frame-refused', {from, error: String(error)});
		socket.destroy();
	};

	const tryHandleFrame = async (frame: Frame) => {
		try {
			await handleFrame(frame);
		} catch (error) {
			refuseFrame(error);
		}
	};

	socket.setNoDelay(true);
	socket.setTimeout(idleMs, () => {
		socket.destroy();
	});
	socket.on('data', (chunk) => {
		try {
			for (const frame of reader.push(chunk)) {
				void tryHandleFrame(frame);
			}
		} catch (error) {
			refuseFrame(error);
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
};

/**
Starts a server for the frames of other instances.

@example
```ts
const address = await startPeerServer({host: '127.0.0.1', port: 0, handlers, lifecycle, log});
```

@returns The bound `host:port`.
*/
export const startPeerServer = async (options: PeerServerOptions): Promise<string> => {
	const {host, port, lifecycle, maxConnections} = options;
	const sockets = new Set<Socket>();
	const server = createServer((socket) => {
		sockets.add(socket);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		serveConnection(socket, options);
	});
	if (maxConnections !== undefined) {
		server.maxConnections = maxConnections;
	}

	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	lifecycle.add('peer-server', async () => {
		for (const socket of sockets) {
			socket.destroy();
		}

		await new Promise<void>((resolve) => {
			server.close(() => {
				resolve();
			});
		});
	});
	const bound = server.address() as AddressInfo;
	return `${bound.address}:${bound.port}`;
};
