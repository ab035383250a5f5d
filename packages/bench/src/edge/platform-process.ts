import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import process from 'node:process';
import {startInstanceList, startStore} from '@bergamotgauge/standins';
import {SERVICE_NAME, SLOTS} from './constants.js';
import type {PlatformCommand, PlatformReady, PlatformStats} from './types.js';

type Endpoint = {
	readonly id: string;
	address: string;
	running: number;
	peak: number;
	peakConnections: number;
	busyMs: number;
	isDraining: boolean;
	leavingSinceMs: number | undefined;
	lastAfterLeavingMs: number;
	readonly sockets: Set<Socket>;
	readonly silent: WeakSet<Socket>;
};

let runMs = 0;
let startedMs = performance.now();
let refused = 0;
let total = 0;
const runs = new Map<string, number>();

const readBody = async (request: IncomingMessage): Promise<string> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

const serve = async (endpoint: Endpoint, request: IncomingMessage, response: ServerResponse) => {
	const body = await readBody(request);
	response.setHeader('request-id', String(request.headers['request-id'] ?? ''));
	if (endpoint.leavingSinceMs !== undefined) {
		endpoint.lastAfterLeavingMs = performance.now() - endpoint.leavingSinceMs;
	}

	if (endpoint.isDraining || endpoint.running >= SLOTS) {
		refused += 1;
		response.setHeader('request-verdict', 'not-run');
		response.setHeader('endpoint-state', endpoint.isDraining ? 'draining' : 'full');
		response.statusCode = 503;
		response.end();
		return;
	}

	endpoint.running += 1;
	endpoint.peak = Math.max(endpoint.peak, endpoint.running);
	total += 1;
	if (body.startsWith('track ')) {
		runs.set(body, (runs.get(body) ?? 0) + 1);
	}

	const requestStartedMs = performance.now();
	const finish = () => {
		endpoint.running -= 1;
		endpoint.busyMs += performance.now() - Math.max(requestStartedMs, startedMs);
		if (!endpoint.silent.has(request.socket)) {
			response.end(body);
		}
	};

	if (runMs === 0) {
		finish();
	} else {
		setTimeout(finish, runMs);
	}
};

const startEndpoint = async (id: string): Promise<Endpoint> => {
	const endpoint: Endpoint = {
		id,
		address: '',
		running: 0,
		peak: 0,
		peakConnections: 0,
		busyMs: 0,
		isDraining: false,
		leavingSinceMs: undefined,
		lastAfterLeavingMs: 0,
		sockets: new Set(),
		silent: new WeakSet(),
	};
	const server = createServer({keepAliveTimeout: 60_000}, (request, response) => {
		void serve(endpoint, request, response);
	});
	server.on('connection', (socket: Socket) => {
		endpoint.sockets.add(socket);
		endpoint.peakConnections = Math.max(endpoint.peakConnections, endpoint.sockets.size);
		socket.on('close', () => {
			endpoint.sockets.delete(socket);
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	endpoint.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	return endpoint;
};

const byEndpoint = (endpoints: readonly Endpoint[], value: (endpoint: Endpoint) => number): Record<string, number> =>
	Object.fromEntries(endpoints.map((endpoint) => [endpoint.id, value(endpoint)]));

const run = async (count: number) => {
	const [store, list] = await Promise.all([startStore(), startInstanceList({lagMs: 200})]);
	const endpoints = await Promise.all(
		Array.from({length: count}, async (_, index) => startEndpoint(`runner-${index + 1}`)),
	);
	const listEndpoint = ({id, address}: Endpoint, state: 'live' | 'leaving') => {
		const labels = {service: SERVICE_NAME};
		list.set({id, role: 'endpoint', address, availabilityZone: 'a', state, labels});
	};

	for (const endpoint of endpoints) {
		listEndpoint(endpoint, 'live');
	}

	const commands: Readonly<
		Record<PlatformCommand['kind'], (endpoint: Endpoint | undefined) => PlatformStats | undefined>
	> = {
		configure: () => undefined,
		reset() {
			startedMs = performance.now();
			runs.clear();
			refused = 0;
			total = 0;
			for (const endpoint of endpoints) {
				endpoint.busyMs = 0;
				endpoint.peak = endpoint.running;
			}

			return undefined;
		},
		stats: () => ({
			runs: Object.fromEntries(runs),
			total,
			busyMs: byEndpoint(endpoints, ({busyMs}) => busyMs),
			elapsedMs: performance.now() - startedMs,
			peak: byEndpoint(endpoints, ({peak}) => peak),
			peakConnections: byEndpoint(endpoints, ({peakConnections}) => peakConnections),
			lastAfterLeavingMs: byEndpoint(endpoints, ({lastAfterLeavingMs}) => lastAfterLeavingMs),
			refused,
		}),
		drain(endpoint) {
			endpoint!.isDraining = true;
			endpoint!.leavingSinceMs = performance.now();
			return undefined;
		},
		'list-leaving'(endpoint) {
			endpoint!.leavingSinceMs = performance.now();
			listEndpoint(endpoint!, 'leaving');
			return undefined;
		},
		silence(endpoint) {
			for (const socket of endpoint!.sockets) {
				endpoint!.silent.add(socket);
			}

			return undefined;
		},
	};
	process.on('message', (message: PlatformCommand & Readonly<{id: number}>) => {
		if (message.kind === 'configure') {
			runMs = message.runMs;
		}

		const endpoint = 'endpoint' in message ? endpoints.find(({id}) => id === message.endpoint) : undefined;
		process.send!({id: message.id, result: commands[message.kind](endpoint)});
	});
	const ready: PlatformReady = {
		storeUrl: `http://${store.address}`,
		listUrl: `http://${list.address}`,
		endpoints: Object.fromEntries(endpoints.map(({id, address}) => [id, address])),
	};
	process.send!({ready});
};

// Exit with the parent process, so that a failed bench leaves no orphan.
process.once('disconnect', () => {
	process.exit();
});
await run(Number(process.argv[2]));
