import {connect} from 'node:net';
import {CONNECT_TIMEOUT_MS} from './constants.js';

/**
Checks whether an endpoint accepts connections.

@example
```ts
const isOpen = await acceptsConnections('10.0.0.7:80');
```
*/
export const acceptsConnections = async (address: string): Promise<boolean> =>
	new Promise((resolve) => {
		const separator = address.lastIndexOf(':');
		const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1))});
		const settle = (isOpen: boolean) => {
			socket.destroy();
			resolve(isOpen);
		};

		socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
			settle(false);
		});
		socket.once('connect', () => {
			settle(true);
		});
		socket.once('error', () => {
			settle(false);
		});
	});
