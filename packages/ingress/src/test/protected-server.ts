import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import type {Test} from 'tap';
import {DEFAULT_LIMITS} from '../constants.js';
import {createIngress, type Ingress} from '../ingress.js';
import type {IngressLimits} from '../types.js';

/** Interval at which Node.js checks the time of heads. */
const CONNECTION_CHECK_MS = 20;

type Handler = (ingress: Ingress, request: IncomingMessage, response: ServerResponse) => void;

/** Starts a server for callers behind an ingress; returns its port. Both end with the test. */
export const startProtectedServer = async (
	t: Test,
	limits: Partial<IngressLimits>,
	handle: Handler,
): Promise<number> => {
	const ingress = createIngress({
		limits: {...DEFAULT_LIMITS, ...limits},
		log: createSilentLog(),
		metrics: createMetrics(),
	});
	const server = createServer({connectionsCheckingInterval: CONNECTION_CHECK_MS}, (request, response) => {
		handle(ingress, request, response);
	});
	ingress.protect(server, 'callers');
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		ingress.close();
		server.closeAllConnections();
		server.close();
	});
	return (server.address() as AddressInfo).port;
};

/** A connection, and what it has received when it has closed. */
export const openConnection = (port: number): Readonly<{socket: Socket; received: Promise<string>}> => {
	const socket = connect({port, host: '127.0.0.1', noDelay: true});
	const received = new Promise<string>((resolve) => {
		let text = '';
		socket.on('data', (chunk) => {
			text += chunk.toString();
		});
		socket.on('error', () => {
			// The connection may be reset while the client still sends.
		});
		socket.once('close', () => {
			resolve(text);
		});
	});
	return {socket, received};
};
