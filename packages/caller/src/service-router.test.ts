import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import type {Dispatcher} from '@bergamotgauge/endpoint';
import type {Bundle} from '@bergamotgauge/model';
import express from 'express';
import t, {type Test} from 'tap';
import type {CallerService} from './types.js';
import {createErrorHandler, createServiceRouter, hashToken} from './index.js';

const TOKEN = 'a-caller-token-of-some-length';
const BUNDLE = {
	generation: 1,
	tokens: [{name: 'acme', sha256: hashToken(TOKEN), role: 'caller', partner: 'p', customer: 'acme'}],
	customers: [{name: 'acme', partner: 'p', weight: 1, quota: {concurrentRequests: 8, queuedRequests: 8}}],
	services: [{name: 'listings', partner: 'p', defaultClass: 'match', classes: ['notice']}],
	jobClasses: [
		{name: 'match', urgency: 'normal', retryRule: 'idempotent', defaultDeadlineSeconds: 5},
		{name: 'notice', urgency: 'normal', retryRule: 'at-most-once', defaultDeadlineSeconds: 5},
	],
} as unknown as Bundle;

const start = async (t: Pick<Test, 'teardown'>) => {
	let dispatched = 0;
	const service = {
		bundle: () => BUNDLE,
		isAccepting: () => true,
		admission: {check: () => undefined, enter: async () => ({done: () => undefined})},
	} as unknown as CallerService;
	const dispatcher = {
		async dispatch({path}: Readonly<{path: string}>) {
			dispatched += 1;
			return {status: 200, headers: {}, body: Buffer.from(path)};
		},
	} as unknown as Dispatcher;
	const app = express();
	app.use('/v1/services', createServiceRouter(service, dispatcher));
	app.use(createErrorHandler(() => {}));
	const server = createServer((request, response) => {
		app(request, response);
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	/** Sends raw bytes and returns the first chunk of the response. */
	const sendRaw = async (text: string): Promise<string> =>
		new Promise((resolve, reject) => {
			const socket = connect(port, '127.0.0.1', () => {
				socket.write(text);
			});
			socket.once('data', (data) => {
				socket.destroy();
				resolve(data.toString());
			});
			socket.once('error', reject);
		});
	return {sendRaw, dispatched: () => dispatched};
};

const head = (lines: readonly string[], token = TOKEN): string =>
	[
		'POST /v1/services/listings/ HTTP/1.1',
		'Host: test',
		`Authorization: Bearer ${token}`,
		'Content-Length: 1000000',
		...lines,
		'',
		'',
	].join('\r\n');

// Guards against reading the body of a request whose head is already refused.
await t.test('a request with an invalid head is refused before its body arrives', async (t) => {
	const {sendRaw, dispatched} = await start(t);
	for (const [text, status] of [
		[head([], 'an-unknown-token-of-length'), 401],
		[head(['Request-Class: none']), 400],
		[head(['Request-Deadline-Ms: 0']), 400],
	] as const) {
		const response = await sendRaw(text);
		t.match(response, `HTTP/1.1 ${status} `);
		t.match(response, /request-verdict: not-run/iv);
		t.match(response, /connection: close/iv);
	}

	t.equal(dispatched(), 0);
});

// Guards against accepting an at-most-once request without the idempotency key that makes its retry safe.
await t.test('an at-most-once request needs an idempotency key', async (t) => {
	const {sendRaw, dispatched} = await start(t);
	const text = head(['Request-Class: notice']).replace('1000000', '0');
	t.match(await sendRaw(text), /^HTTP\/1.1 400 [\s\S]*idempotency-key/v);
	t.equal(dispatched(), 0);
});

// Guards against changing the path or query on the way to the endpoint.
await t.test('an endpoint gets the path and query after the name of the service', async (t) => {
	const {sendRaw} = await start(t);
	const get = async (target: string): Promise<string> => {
		const response = await sendRaw(
			`GET ${target} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer ${TOKEN}\r\nRequest-Id: forged\r\n\r\n`,
		);
		t.notMatch(response, /request-id: forged/iv);
		return response.slice(response.indexOf('\r\n\r\n') + 4);
	};

	t.equal(await get('/v1/services/listings'), '/');
	t.equal(await get('/v1/services/listings?role=a/b'), '/?role=a/b');
	t.equal(await get('/v1/services/listings/x%2Fy?z=1'), '/x%2Fy?z=1');
	t.match(await get('http://test/v1/services/listings/x'), /request target/v);
});
