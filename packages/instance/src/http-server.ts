import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {
	authenticate,
	createErrorHandler,
	createJobRouter,
	createServiceRouter,
	type RequestCounter,
	type CallerService,
} from '@bergamotgauge/caller';
import type {Dispatcher} from '@bergamotgauge/endpoint';
import type {Lifecycle} from '@bergamotgauge/lifecycle';
import {ServiceError} from '@bergamotgauge/model';
import {createOperatorRouter, type OperatorService} from '@bergamotgauge/operator';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import express from 'express';

export type HttpServerOptions = Readonly<{
	host: string;
	port: number;
	callerService: CallerService;
	operatorService: OperatorService;
	dispatcher: Dispatcher;
	isReady: () => boolean;
	requestCounter: RequestCounter;
	metrics: Metrics;
	log: Log;
	lifecycle: Lifecycle;
}>;

const MAX_HEADER_BYTES = 16 * 1024;
const REQUEST_READ_TIMEOUT_MS = 10_000;
/** Interval at which Node checks for requests that exceed the read timeout. */
const TIMEOUT_CHECK_MS = 1000;

const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const MAX_CONNECTIONS = 10_000;

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
Responds to a request that could not be read or parsed; none of it has run.

A caller would take the response for that to an earlier request on the connection which is still running, so the connection then ends without a response.
*/
const rejectUnparsableRequest = (error: Error, socket: Duplex, mayBeRunning: boolean): void => {
	if (!socket.writable || mayBeRunning) {
		socket.destroy();
		return;
	}

	const code = 'code' in error ? String(error.code) : '';
	const status = STATUS_BY_PARSE_ERROR[code] ?? '400 Bad Request';
	socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\nrequest-verdict: not-run\r\ncontent-length: 0\r\n\r\n`);
};

const listen = async (server: Server, host: string, port: number): Promise<string> => {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const bound = server.address() as AddressInfo;
	return `${bound.address}:${bound.port}`;
};

/**
Serves callers and operators.

@returns The bound `host:port`.
*/
export const startHttpServer = async (options: HttpServerOptions): Promise<string> => {
	const {host, port, callerService, operatorService, dispatcher, isReady, requestCounter, metrics, log, lifecycle} =
		options;
	const app = express();
	app.disable('x-powered-by');
	app.disable('etag');
	// The route with the most traffic is matched first.
	app.use('/v1/services', requestCounter.handler, createServiceRouter(callerService, dispatcher));
	app.get('/healthz', (_request, response) => {
		response.json({healthy: true});
	});
	app.get('/readyz', (_request, response) => {
		const isReadyNow = isReady();
		response.status(isReadyNow ? 200 : 503).json({ready: isReadyNow});
	});
	app.get('/metrics', (_request, response) => {
		response.type('text/plain').send(metrics.render());
	});
	app.use('/v1/jobs', requestCounter.handler, createJobRouter(callerService));
	app.use('/v1/operator', createOperatorRouter(operatorService));
	app.use((_request, _response, next) => {
		next(new ServiceError('no such route', {code: 'not-found', verdict: 'not-run'}));
	});
	app.use(
		createErrorHandler((error) => {
			log.error('request-failed', {error: error.message, stack: error.stack});
		}),
	);
	const connections = createConnectionTracker();
	const server = createServer(
		{
			maxHeaderSize: MAX_HEADER_BYTES,
			requestTimeout: REQUEST_READ_TIMEOUT_MS,
			headersTimeout: REQUEST_READ_TIMEOUT_MS,
			connectionsCheckingInterval: TIMEOUT_CHECK_MS,
		},
		(request, response) => {
			connections.add(request, response);
			app(request, response);
		},
	);
	server.on('clientError', (error, socket) => {
		rejectUnparsableRequest(error, socket, connections.mayBeRunning(socket));
	});
	server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
	server.maxConnections = MAX_CONNECTIONS;
	lifecycle.add('http-server', async () => {
		const closed = new Promise<void>((resolve) => {
			server.close(() => {
				resolve();
			});
		});
		server.closeAllConnections();
		await closed;
	});
	return listen(server, host, port);
};

/** Finds the operator of a request; the bootstrap token is valid until the first bundle. */
export const authenticateOperator = (
	callerService: CallerService,
	bootstrapTokenSha256: string,
	authorization: string | undefined,
) => {
	const bootstrap = {name: 'bootstrap', sha256: bootstrapTokenSha256, role: 'operator', partner: '*'} as const;
	const token = authenticate(callerService.bundle()?.tokens ?? [bootstrap], authorization);
	if (token.role !== 'operator') {
		throw new ServiceError('the token is not an operator token', {code: 'forbidden', verdict: 'not-run'});
	}

	return token;
};
