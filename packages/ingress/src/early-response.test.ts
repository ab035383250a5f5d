import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import t, {type Test} from 'tap';
import {DEFAULT_LIMITS} from './constants.js';
import {createIngress} from './ingress.js';

/** Serves requests of which those with a body are refused at once; returns the port and the paths that were handled. */
const startRefusing = async (t: Test) => {
	const ingress = createIngress({limits: DEFAULT_LIMITS, log: createSilentLog(), metrics: createMetrics()});
	const handled: Array<string | undefined> = [];
	const server = createServer((request, response) => {
		if (!ingress.isAccepted(request)) {
			return;
		}

		handled.push(request.url);
		ingress.respondEarly(request, response, {status: 503, body: {}});
	});
	ingress.protect(server, 'callers');
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		ingress.close();
		server.closeAllConnections();
		server.close();
	});
	return {port: (server.address() as AddressInfo).port, handled};
};

// Guards against an instance that ends by an assertion of Node.js: the requests behind one that had been answered with
// "Connection: close" were handled too, and their responses overtook those that waited for the end of that one.
await t.test('requests behind one that was refused early are not handled', async (t) => {
	const {port, handled} = await startRefusing(t);
	const socket = connect({port, host: '127.0.0.1'});
	const chunks: string[] = [];
	socket.on('data', (chunk) => {
		chunks.push(chunk.toString());
	});
	const closed = once(socket, 'close');
	socket.write('POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01234');
	while (handled.length === 0) {
		await once(socket, 'data');
	}

	const next = 'POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01234';
	socket.write(`56789${next}56789${next}`);
	await closed;
	t.strictSame(handled, ['/first']);
	t.equal(chunks.join('').split('HTTP/1.1 503').length - 1, 1, 'the client gets one response');
});
