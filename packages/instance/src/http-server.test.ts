import {connect} from 'node:net';
import {createRequestCounter, hashToken, type CallerService} from '@bergamotgauge/caller';
import type {Dispatcher} from '@bergamotgauge/endpoint';
import {createLifecycle} from '@bergamotgauge/lifecycle';
import type {Bundle} from '@bergamotgauge/model';
import type {OperatorService} from '@bergamotgauge/operator';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import t, {type Test} from 'tap';
import {startHttpServer} from './http-server.js';

const TOKEN = 'a-caller-token-of-some-length';
const BUNDLE = {
	tokens: [{name: 'acme', sha256: hashToken(TOKEN), role: 'caller', partner: 'p', customer: 'acme'}],
} as unknown as Bundle;

const start = async (t: Pick<Test, 'teardown'>, methods: Partial<CallerService> = {}) => {
	const lifecycle = createLifecycle('test');
	t.teardown(async () => lifecycle.close());
	const address = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		callerService: {
			bundle: () => BUNDLE,
			isAccepting: () => true,
			listJobs: () => [],
			...methods,
		} as unknown as CallerService,
		operatorService: {} as unknown as OperatorService,
		dispatcher: {} as unknown as Dispatcher,
		isReady: () => true,
		requestCounter: createRequestCounter(() => true),
		metrics: createMetrics(),
		log: createSilentLog(),
		lifecycle,
	});
	/** Sends text, closes the sending side if requested, and returns all received data. */
	return async (text: string, isHalfClosed = false): Promise<string> =>
		new Promise((resolve, reject) => {
			let response = '';
			const socket = connect(Number(address.split(':')[1]), '127.0.0.1', () => {
				if (isHalfClosed) {
					socket.end(text);
				} else {
					socket.write(text);
				}
			});
			socket.on('data', (data) => {
				response += data.toString();
			});
			socket.on('close', () => {
				resolve(response);
			});
			socket.on('error', reject);
		});
};

const post = (lines: readonly string[], body: string): string =>
	['POST /v1/jobs HTTP/1.1', 'Host: test', `Authorization: Bearer ${TOKEN}`, ...lines, '', body].join('\r\n');

// Guards against callers that occupy a connection or memory, and against a refusal without its verdict.
await t.test('malformed, oversized and slow requests are refused with a verdict', async (t) => {
	const send = await start(t);
	t.jobs = 6;
	const json = 'Content-Type: application/json';
	for (const [name, text, status] of [
		['oversized header', post([`X-Large: ${'x'.repeat(17_000)}`], ''), 431],
		['broken head', 'NONSENSE\r\n\r\n', 400],
		['oversized body', post([json, 'Connection: close', 'Content-Length: 70000'], 'x'.repeat(70_000)), 413],
		['malformed JSON', post([json, 'Connection: close', 'Content-Length: 5'], '{"a":'), 400],
		['slow body', post([json, 'Content-Length: 100'], '{"a"'), 408],
		['slow head', 'POST /v1/jobs HTTP/1.1\r\nHost: test\r\n', 408],
	] as const) {
		void t.test(name, async (t) => {
			const startedMs = performance.now();
			const response = await send(text);
			t.match(response, new RegExp(`^HTTP/1.1 ${status} `, 'v'));
			t.match(response, /request-verdict: not-run/iv);
			t.ok(performance.now() - startedMs < 13_000, 'within the read time and one check');
		});
	}
});

// Guards against a response lost because the caller has closed its sending side.
await t.test('a half-closed connection gets its response', async (t) => {
	const send = await start(t);
	const response = await send(`GET /v1/jobs HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer ${TOKEN}\r\n\r\n`, true);
	t.match(response, /^HTTP\/1.1 200 /v);
	t.match(response, /\{"jobs":\[\]\}$/v);
});

// Guards against a caller that takes the refusal of unreadable bytes for the response to its request, which runs.
await t.test('bytes that follow a request in progress do not refuse it as not run', async (t) => {
	let submitted = 0;
	const send = await start(t, {
		async submitJob() {
			submitted += 1;
			return new Promise<never>(() => {});
		},
	});
	const job = JSON.stringify({
		jobClass: 'batch',
		accelerators: 1,
		coresPerAccelerator: 1,
		memoryGigabytesPerAccelerator: 1,
		declaredSeconds: 1,
		payload: {},
	});
	const response = await send(
		post(['Content-Type: application/json', `Content-Length: ${job.length}`], `${job}NONSENSE\r\n\r\n`),
	);
	t.equal(submitted, 1, 'the request runs');
	t.equal(response, '', 'its connection ends without a response');
});
