import {Client} from 'undici';
import {CONNECT_TIMEOUT_MS, IDLE_CONNECTION_TIMEOUT_MS} from './constants.js';

/** One connection that carries one request at a time. */
export type Connection = Readonly<{
	client: Client;
	/** False while the connection has never been established, so that nothing can have been sent. */
	wasConnected: () => boolean;
}>;

/** The pool of connections to one endpoint. */
export type ConnectionPool = Readonly<{
	/** Returns an idle connection or opens a new one; undefined at the limit. */
	acquire: () => Connection | undefined;
	/** Puts back a connection whose last response was complete. */
	release: (connection: Connection) => void;
	/** Closes a connection that must not be reused. */
	retire: (connection: Connection) => void;
	/** Closes idle connections, all of them or those above the limit. */
	closeIdle: (which: 'all' | 'excess') => void;
	size: () => number;
	/** Closes idle connections at once and every other one when it is released. */
	drain: () => void;
	/** Closes every connection at once. */
	close: () => void;
}>;

/**
Creates the connection pool of one endpoint. Each connection carries one request at a time, so that a late or duplicate response cannot be taken for the response to another request.

@example
```ts
const pool = createConnectionPool({address: '10.0.0.7:80', limit: () => 20, onClosed});
const connection = pool.acquire();
```
*/
export const createConnectionPool = ({
	address,
	limit,
	onClosed,
}: Readonly<{address: string; limit: () => number; onClosed: () => void}>): ConnectionPool => {
	const idle: Connection[] = [];
	const all = new Set<Connection>();
	let isDraining = false;

	const retire = (connection: Connection) => {
		const index = idle.indexOf(connection);
		if (index !== -1) {
			idle.splice(index, 1);
		}

		if (all.delete(connection)) {
			void connection.client.destroy();
		}
	};

	const connect = (): Connection => {
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			connect: {timeout: CONNECT_TIMEOUT_MS},
			keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		let isConnected = false;
		const connection = {client, wasConnected: () => isConnected};
		client.once('connect', () => {
			isConnected = true;
		});
		client.on('disconnect', () => {
			if (all.has(connection)) {
				retire(connection);
				onClosed();
			}
		});
		all.add(connection);
		return connection;
	};

	const closeIdle = (which: 'all' | 'excess') => {
		const count = which === 'all' ? idle.length : Math.max(0, all.size - limit());
		for (const connection of idle.slice(0, count)) {
			retire(connection);
		}
	};

	return {
		acquire: () => idle.pop() ?? (all.size < limit() ? connect() : undefined),
		release(connection) {
			if (isDraining) {
				retire(connection);
			} else if (all.has(connection)) {
				idle.push(connection);
				closeIdle('excess');
			}
		},
		retire,
		closeIdle,
		size: () => all.size,
		drain() {
			isDraining = true;
			closeIdle('all');
		},
		close() {
			for (const connection of all) {
				retire(connection);
			}
		},
	};
};
