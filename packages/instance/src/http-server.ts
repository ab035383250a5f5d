import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	authenticate,
	createErrorHandler,
	createJobRouter,
	createServiceRouter,
	type RequestCounter,
	type CallerService,
} from '@bergamotgauge/caller';
import type {Dispatcher} from '@bergamotgauge/endpoint';
import {refuseUnreadableRequests, type Lifecycle} from '@bergamotgauge/lifecycle';
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
	const server = createServer(
		{
			maxHeaderSize: MAX_HEADER_BYTES,
			requestTimeout: REQUEST_READ_TIMEOUT_MS,
			headersTimeout: REQUEST_READ_TIMEOUT_MS,
			connectionsCheckingInterval: TIMEOUT_CHECK_MS,
		},
		(request, response) => {
			app(request, response);
		},
	);
	refuseUnreadableRequests(server, ['request-verdict: not-run']);
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
