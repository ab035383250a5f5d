import {connect, type Socket} from 'node:net';
import {withDeadline} from '@bergamotgauge/lifecycle';
import {ServiceError, type ErrorCode, type Verdict} from '@bergamotgauge/model';
import {
	CALL_DEADLINE_MS,
	CONNECT_DEADLINE_MS,
	LINK_IDLE_MS,
	MAX_FRAME_BYTES,
	MAX_PENDING_CALLS,
	PEER_RETRY_AFTER_MS,
} from './constants.js';
import {createFrameReader, encodeFrame} from './frame.js';
import type {Frame} from './types.js';

type Pending = Readonly<{resolve: (body: unknown) => void; reject: (error: Error) => void}>;

/** One connection to another instance, opened on demand. */
export type PeerLink = Readonly<{
	address: string;
	/** Sends a request and waits for its response. */
	call: (method: string, body: unknown, deadlineMs?: number) => Promise<unknown>;
	/** Sends a one-way message. It is dropped when no connection can be opened or the send buffer is full. */
	notify: (method: string, body: unknown) => void;
	/** Closes the connection; the next call opens a new one. */
	reset: (reason: string) => void;
}>;

const peerUnavailableError = (address: string, reason: string, verdict: Verdict): ServiceError =>
	new ServiceError(`peer ${address}: ${reason}`, {
		code: 'peer-unavailable',
		verdict,
		retryAfterMs: PEER_RETRY_AFTER_MS,
	});

const openSocket = async (address: string, signal: AbortSignal): Promise<Socket> => {
	const separator = address.lastIndexOf(':');
	return new Promise((resolve, reject) => {
		const socket = connect({
			host: address.slice(0, separator),
			port: Number(address.slice(separator + 1)),
			noDelay: true,
			signal,
		});
		socket.once('connect', () => {
			resolve(socket);
		});
		socket.once('error', reject);
	});
};

/**
Creates a link to another instance.

@example
```ts
const link = createPeerLink('10.0.0.2:7100');
const response = await link.call('heartbeat', heartbeat);
```

A call fails with `peer-unavailable`: verdict `not-run` when its frame was never written, otherwise `may-have-run`.
*/
export const createPeerLink = (address: string): PeerLink => {
	const pending = new Map<number, Pending>();
	let connecting: Promise<Socket> | undefined;
	let current: Socket | undefined;
	let nextId = 1;

	const closeSocket = (socket: Socket, reason: string) => {
		socket.destroy();
		if (current !== socket) {
			return;
		}

		current = undefined;
		for (const [id, {reject}] of pending) {
			pending.delete(id);
			reject(peerUnavailableError(address, reason, 'may-have-run'));
		}
	};

	const receive = (frame: Frame) => {
		if (frame.kind !== 'response') {
			return;
		}

		const call = pending.get(frame.id);
		pending.delete(frame.id);
		if (frame.ok) {
			call?.resolve(frame.body);
			return;
		}

		const {code, verdict, message, status, retryAfterMs} = frame.error;
		call?.reject(
			new ServiceError(message, {
				code: code as ErrorCode,
				verdict: verdict as Verdict,
				...(status !== undefined && {status}),
				...(retryAfterMs !== undefined && {retryAfterMs}),
			}),
		);
	};

	const attachSocket = (socket: Socket) => {
		const reader = createFrameReader();
		current = socket;
		socket.on('data', (chunk) => {
			try {
				for (const frame of reader.push(chunk)) {
					receive(frame);
				}
			} catch {
				closeSocket(socket, 'malformed frame received');
			}
		});
		socket.setTimeout(LINK_IDLE_MS, () => {
			if (pending.size === 0) {
				closeSocket(socket, 'the connection was idle');
			}
		});
		socket.on('error', () => {
			closeSocket(socket, 'the connection failed');
		});
		socket.on('close', () => {
			closeSocket(socket, 'the connection was closed');
		});
	};

	const getSocket = async (): Promise<Socket> => {
		if (current) {
			return current;
		}

		connecting ??= (async () => {
			try {
				const socket = await withDeadline(CONNECT_DEADLINE_MS, async (signal) => openSocket(address, signal));
				attachSocket(socket);
				return socket;
			} catch (error) {
				throw peerUnavailableError(address, `cannot connect: ${String(error)}`, 'not-run');
			} finally {
				connecting = undefined;
			}
		})();
		return connecting;
	};

	const sendRequest = async (socket: Socket, method: string, body: unknown, deadlineMs: number): Promise<unknown> => {
		const id = nextId;
		nextId += 1;
		const frame = encodeFrame({kind: 'request', id, method, body});
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				pending.delete(id);
				reject(peerUnavailableError(address, `no response to ${method} within ${deadlineMs} ms`, 'may-have-run'));
			}, deadlineMs);
			pending.set(id, {
				resolve(response) {
					clearTimeout(timer);
					resolve(response);
				},
				reject(error) {
					clearTimeout(timer);
					reject(error);
				},
			});
			socket.write(frame);
		});
	};

	return {
		address,
		async call(method, body, deadlineMs = CALL_DEADLINE_MS) {
			if (pending.size >= MAX_PENDING_CALLS) {
				throw peerUnavailableError(address, 'too many calls in flight', 'not-run');
			}

			return sendRequest(await getSocket(), method, body, deadlineMs);
		},
		notify(method, body) {
			const frame = encodeFrame({kind: 'event', method, body});
			void (async () => {
				try {
					const socket = await getSocket();
					// Messages to a receiver that does not read are dropped, so that the send buffer stays bounded.
					if (socket.writableLength <= MAX_FRAME_BYTES) {
						socket.write(frame);
					}
				} catch {}
			})();
		},
		reset(reason) {
			if (current) {
				closeSocket(current, reason);
			}
		},
	};
};
