import {Client} from 'undici';
import {CONNECT_DEADLINE_MS, IDLE_CONNECTION_MS} from './constants.js';

/** One connection that carries one request at a time. */
export type Connection = Readonly<{
	client: Client;
	/** False while nothing can have been sent. */
	wasConnected: () => boolean;
}>;

/** The connections to one endpoint. */
export type Connections = Readonly<{
	/** Gives an idle connection or a new one; undefined at the limit. */
	take: () => Connection | undefined;
	/** Returns a connection whose last answer was whole. */
	give: (connection: Connection) => void;
	/** Closes a connection that must carry no further request. */
	retire: (connection: Connection) => void;
	/** Closes idle connections, all of them or those above the limit. */
	closeIdle: (which: 'all' | 'excess') => void;
	open: () => number;
	/** Closes idle connections, and each other one when it is returned. */
	shut: () => void;
	close: () => void;
}>;

/**
Creates the connections to one endpoint. Each carries one request at a time, so that a late or doubled answer cannot meet another request on the way.

@example
```ts
const connections = createConnections({address: '10.0.0.7:80', limit: () => 20, onClosed});
const connection = connections.take();
```
*/
export const createConnections = ({
	address,
	limit,
	onClosed,
}: Readonly<{address: string; limit: () => number; onClosed: () => void}>): Connections => {
	const idle: Connection[] = [];
	const all = new Set<Connection>();
	let isShut = false;

	const retire = (connection: Connection) => {
		const index = idle.indexOf(connection);
		if (index !== -1) {
			idle.splice(index, 1);
		}

		if (all.delete(connection)) {
			void connection.client.destroy();
		}
	};

	const open = (): Connection => {
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			connect: {timeout: CONNECT_DEADLINE_MS},
			keepAliveTimeout: IDLE_CONNECTION_MS,
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
		take: () => idle.pop() ?? (all.size < limit() ? open() : undefined),
		give(connection) {
			if (isShut) {
				retire(connection);
			} else if (all.has(connection)) {
				idle.push(connection);
				closeIdle('excess');
			}
		},
		retire,
		closeIdle,
		open: () => all.size,
		shut() {
			isShut = true;
			closeIdle('all');
		},
		close() {
			for (const connection of all) {
				retire(connection);
			}
		},
	};
};
