import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Express} from 'express';
import type {StandIn} from './types.js';

/** Serves an app, by default on the loopback interface; port 0 picks a free port. */
export const listen = async (app: Express, port = 0, host = '127.0.0.1'): Promise<StandIn> => {
	const server = createServer((request, response) => {
		app(request, response);
	});
	server.keepAliveTimeout = 60_000;
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const bound = server.address() as AddressInfo;
	return {
		address: `${bound.address}:${bound.port}`,
		async close() {
			const closed = new Promise<void>((resolve) => {
				server.close(() => {
					resolve();
				});
			});
			server.closeAllConnections();
			await closed;
		},
	};
};
