import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import t, {type Test} from 'tap';
import {DEFAULT_LIMITS} from './constants.js';
import {createIngress} from './ingress.js';

/** Serves requests of which those with a body are refused at once; returns the port, the paths that were handled, and how many pieces of bodies Node.js handed over. */
const startRefusing = async (t: Test) => {
	const ingress = createIngress({limits: DEFAULT_LIMITS, log: createSilentLog(), metrics: createMetrics()});
	const handled: Array<string | undefined> = [];
	let pieces = 0;
	const server = createServer((request, response) => {
		if (!ingress.isAccepted(request)) {
			return;
		}

		handled.push(request.url);
		const push = request.push.bind(request);
		request.push = (piece) => {
			pieces += 1;
			return push(piece);
		};

		ingress.endAfter(request);
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
	return {port: (server.address() as AddressInfo).port, handled, pieces: () => pieces};
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

// Guards against an instance that is busy with the bodies of clients that it has refused: each chunk of one byte takes
// microseconds once it becomes an event, and one read of the socket holds 11,000 of them.
await t.test('the chunks behind a refusal are dropped by the parser', async (t) => {
	const {port, handled, pieces} = await startRefusing(t);
	const socket = connect({port, host: '127.0.0.1'});
	const chunks: string[] = [];
	socket.on('data', (chunk) => {
		chunks.push(chunk.toString());
	});
	socket.on('error', () => {
		// The connection may be reset while the client still sends.
	});
	const closed = new Promise((resolve) => {
		socket.once('close', resolve);
	});
	socket.write(`POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(50_000)}`);
	await closed;
	t.strictSame(handled, ['/first']);
	t.match(chunks.join(''), /^HTTP\/1.1 503/v, 'the client gets the refusal');
	t.ok(pieces() < 20, 'a piece for each read at most', {pieces: pieces()});
});

// Guards against a parser that drops the bodies of a later connection: Node.js uses parsers again.
await t.test('a connection after a refused one gets its body', async (t) => {
	const ingress = createIngress({limits: DEFAULT_LIMITS, log: createSilentLog(), metrics: createMetrics()});
	const respond = async (request: IncomingMessage, response: ServerResponse) => {
		response.end(JSON.stringify(await ingress.readJson(request, {customer: 'a', maxBytes: 1000})));
	};

	const server = createServer((request, response) => {
		if (request.url === '/refused') {
			ingress.endAfter(request);
			ingress.respondEarly(request, response, {status: 503, body: {}});
		} else {
			void respond(request, response);
		}
	});
	ingress.protect(server, 'callers');
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		ingress.close();
		server.closeAllConnections();
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	const send = async (text: string): Promise<string> => {
		const socket = connect({port, host: '127.0.0.1'});
		const chunks: string[] = [];
		socket.on('data', (chunk) => {
			chunks.push(chunk.toString());
		});
		socket.write(text);
		await once(socket, 'close');
		return chunks.join('');
	};

	const head = 'HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n';
	for (let round = 0; round < 3; round += 1) {
		t.match(await send(`POST /refused ${head}1\r\nx\r\n0\r\n\r\n`), /^HTTP\/1.1 503/v);
		t.match(await send(`POST /read ${head}7\r\n{"a":1}\r\n0\r\n\r\n`), /\{"a":1\}/v);
	}
});
