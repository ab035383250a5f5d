import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {toServiceError} from '@bergamotgauge/model';
import t, {type Test} from 'tap';
import type {Ingress} from './ingress.js';
import {openConnection, startProtectedServer} from './test/protected-server.js';
import type {IngressLimits} from './types.js';

const respond = async (ingress: Ingress, request: IncomingMessage, response: ServerResponse) => {
	try {
		response.end(JSON.stringify(await ingress.readJson(request, {customer: 'a', maxBytes: 1000})));
	} catch (error) {
		const {status, message} = toServiceError(error, 'not-run');
		ingress.respondEarly(request, response, {status, body: {message}});
	}
};

/** Answers requests with their body; returns the port. */
const startEcho = async (t: Test, limits: Partial<IngressLimits>): Promise<number> =>
	startProtectedServer(t, limits, (ingress, request, response) => {
		void respond(ingress, request, response);
	});

/** Sends pieces with a pause after each, and returns the response. */
const send = async (port: number, pieces: readonly string[], pauseMs: number): Promise<string> => {
	const {socket, received} = openConnection(port);
	for (const piece of pieces) {
		socket.write(piece);
		await sleep(pauseMs);
	}

	return received;
};

const head = (field: string): string => `POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n${field}\r\n\r\n`;

const JOB = '{"spec":"text"}';

// Guards against a single client that is refused in calm since its body arrives slowly.
await t.test('a body may arrive as slowly as its sender likes while nobody needs the room', async (t) => {
	const port = await startEcho(t, {stallMs: 10, slowGraceMs: 20, minBodyRate: 1_000_000, headerTimeoutMs: 300});
	const known = [head(`Content-Length: ${JOB.length}`), ...JOB];
	t.match(await send(port, known, 60), /200 OK[\s\S]*"text"/v, 'of known length');
	const chunks = [...JOB].map((character) => `1\r\n${character}\r\n`);
	t.match(
		await send(port, [head('Transfer-Encoding: chunked'), ...chunks, '0\r\n\r\n'], 60),
		/200 OK[\s\S]*"text"/v,
		'in chunks',
	);
});

// Guards against a connection that is closed without a response when no more of its body arrives.
await t.test('a body of which no more arrives for the idle time is refused with 408', async (t) => {
	const port = await startEcho(t, {idleTimeoutMs: 200});
	t.match(await send(port, [head('Content-Length: 15'), '{"spec"'], 0), /^HTTP\/1.1 408/v);
});

// Guards against heads that may take any time since bodies may.
await t.test('a head that does not end in time is refused with 408', async (t) => {
	const port = await startEcho(t, {headerTimeoutMs: 100});
	t.match(await send(port, ['POST / HTTP/1.1\r\nHost: h\r\n'], 0), /^HTTP\/1.1 408/v);
});
