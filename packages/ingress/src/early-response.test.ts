import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import t, {type Test} from 'tap';
import type {Ingress} from './ingress.js';
import {openConnection, startProtectedServer} from './test/protected-server.js';

/** Refuses each request at its head; returns the port, the paths that were handled, and how many pieces of bodies Node.js handed over. */
const startRefusing = async (t: Test) => {
	const handled: Array<string | undefined> = [];
	let pieces = 0;
	const port = await startProtectedServer(t, {}, (ingress, request, response) => {
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
	return {port, handled, pieces: () => pieces};
};

// Guards against an instance that ends by an assertion of Node.js: the requests behind one that had been answered with
// "Connection: close" were handled too, and their responses overtook those that waited for the end of that one.
await t.test('requests behind one that was refused early are not handled', async (t) => {
	const {port, handled} = await startRefusing(t);
	const {socket, received} = openConnection(port);
	socket.write('POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01234');
	while (handled.length === 0) {
		await once(socket, 'data');
	}

	const next = 'POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01234';
	socket.write(`56789${next}56789${next}`);
	const text = await received;
	t.strictSame(handled, ['/first']);
	t.equal(text.split('HTTP/1.1 503').length - 1, 1, 'the client gets one response');
});

// Guards against an instance that is busy with the bodies of clients that it has refused: each chunk of one byte takes
// microseconds once it becomes an event, and one read of the socket holds 11,000 of them.
await t.test('the chunks behind a refusal are dropped by the parser', async (t) => {
	const {port, handled, pieces} = await startRefusing(t);
	const {socket, received} = openConnection(port);
	const chunks = '1\r\nx\r\n'.repeat(50_000);
	socket.write(`POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}`);
	t.match(await received, /^HTTP\/1.1 503/v, 'the client gets the refusal');
	t.strictSame(handled, ['/first']);
	t.ok(pieces() < 20, 'a piece for each read at most', {pieces: pieces()});
});

const readOrRefuse = async (ingress: Ingress, request: IncomingMessage, response: ServerResponse) => {
	if (request.url === '/refused') {
		ingress.endAfter(request);
		ingress.respondEarly(request, response, {status: 503, body: {}});
	} else {
		response.end(JSON.stringify(await ingress.readJson(request, {customer: 'a', maxBytes: 1000})));
	}
};

// Guards against a parser that drops the bodies of a later connection: Node.js uses parsers again.
await t.test('a connection after a refused one gets its body', async (t) => {
	const port = await startProtectedServer(t, {}, (ingress, request, response) => {
		void readOrRefuse(ingress, request, response);
	});
	const send = async (text: string): Promise<string> => {
		const {socket, received} = openConnection(port);
		socket.write(text);
		return received;
	};

	const head = 'HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n';
	for (let round = 0; round < 3; round += 1) {
		t.match(await send(`POST /refused ${head}1\r\nx\r\n0\r\n\r\n`), /^HTTP\/1.1 503/v);
		t.match(await send(`POST /read ${head}7\r\n{"a":1}\r\n0\r\n\r\n`), /\{"a":1\}/v);
	}
});
