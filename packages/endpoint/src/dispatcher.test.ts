import {Buffer} from 'node:buffer';
import FakeTimers from '@sinonjs/fake-timers';
import {createLifecycle, sleep} from '@bergamotgauge/lifecycle';
import {newRequestId, ServiceError, type RetryRule, type Service} from '@bergamotgauge/model';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import t, {type Test} from 'tap';
import {startFakeEndpoint, type Behaviour, type FakeEndpoint} from './test/fake-endpoint.js';
import {connectionShare, createDispatcher, type EndpointRequest} from './index.js';

const SERVICE: Service = {
	name: 'listings',
	partner: 'p',
	endpointSelector: {},
	slots: 8,
	connections: 60,
	defaultClass: 'match',
	classes: [],
};

const requestOf = (retryRule: RetryRule, body: string, deadlineMs = 10_000): EndpointRequest => ({
	id: newRequestId(),
	service: SERVICE,
	customer: 'acme',
	requestClass: 'match',
	retryRule,
	method: 'POST',
	path: '/',
	headers: {},
	body: Buffer.from(body),
	deadlineMs,
});

const setUp = async (t: Pick<Test, 'teardown'>, count: number, slots = 8) => {
	const endpoints = await Promise.all(Array.from({length: count}, async (_, index) => startFakeEndpoint(`e${index}`)));
	const lifecycle = createLifecycle('test');
	const leaving: string[] = [];
	const metrics = createMetrics();
	const dispatcher = createDispatcher({
		availabilityZone: 'a',
		lifecycle,
		log: createSilentLog(),
		metrics,
		slotsOf: () => slots,
		onLeaving(endpoint, reason) {
			leaving.push(`${endpoint} ${reason}`);
		},
	});
	dispatcher.setEndpoints(
		endpoints.map(({id, address}) => ({id, address, availabilityZone: 'a', labels: {}, isLeaving: false})),
	);
	t.teardown(async () => {
		await lifecycle.close();
		await Promise.all(endpoints.map(async (endpoint) => endpoint.close()));
	});
	const send = async (request: EndpointRequest, signal = new AbortController().signal) => {
		try {
			const response = await dispatcher.dispatch(request, signal);
			return Buffer.from(response.body).toString();
		} catch (error) {
			return (error as ServiceError).verdict;
		}
	};

	return {endpoints, dispatcher, leaving, metrics, send};
};

/** Every duration measures 0, while timers run. On a busy machine the attempt timeout, a multiple of the mean run time, would exceed the 3 s of a stall. */
const pauseMeasuredTime = (t: Pick<Test, 'teardown'>): void => {
	const clock = FakeTimers.install({toFake: ['performance']});
	t.teardown(() => {
		clock.uninstall();
	});
};

const runsOf = (endpoints: readonly FakeEndpoint[]): number => endpoints.reduce((sum, {runs}) => sum + runs(), 0);

// Guards against opening more connections than an endpoint accepts, and against a slot without a connection.
await t.test('connection shares add up to at most the declared connections', async (t) => {
	for (const shares of [[8], [1, 7], [2, 3, 3], [1, 1, 1, 1, 1, 1, 1, 1], [0, 5, 3]]) {
		const parts = shares.map((share) => connectionShare(share, SERVICE));
		t.ok(parts.reduce((sum, part) => sum + part, 0) <= SERVICE.connections);
		t.ok(parts.every((part, index) => part >= shares[index]!));
	}
});

type Row = Readonly<{
	behaviour: Behaviour;
	/** Response body or verdict of an idempotent request, and the number of its runs. */
	idempotent: readonly [string, number];
	atMostOnce: readonly [string, number];
	/** Deadline of the at-most-once request. */
	deadlineMs?: number;
}>;

const ROWS: readonly Row[] = [
	{behaviour: 'answer', idempotent: ['body', 1], atMostOnce: ['body', 1]},
	{behaviour: 'refuse', idempotent: ['body', 1], atMostOnce: ['body', 1]},
	{behaviour: 'drain', idempotent: ['body', 1], atMostOnce: ['body', 1]},
	{behaviour: 'die-before-reading', idempotent: ['body', 1], atMostOnce: ['may-have-run', 0]},
	{behaviour: 'die-after-running', idempotent: ['body', 2], atMostOnce: ['may-have-run', 1]},
	{behaviour: 'go-silent', idempotent: ['body', 2], atMostOnce: ['may-have-run', 1], deadlineMs: 500},
	{behaviour: 'stall', idempotent: ['body', 2], atMostOnce: ['body', 1]},
	{behaviour: 'stall', idempotent: ['body', 2], atMostOnce: ['may-have-run', 1], deadlineMs: 500},
	{behaviour: 'answer-twice', idempotent: ['body', 1], atMostOnce: ['body', 1]},
	{behaviour: 'answer-cut', idempotent: ['body', 2], atMostOnce: ['may-have-run', 1]},
	{behaviour: 'answer-other-id', idempotent: ['body', 2], atMostOnce: ['may-have-run', 1]},
	{behaviour: 'answer-without-length', idempotent: ['body', 2], atMostOnce: ['may-have-run', 1]},
];

// Guards against a second run of an at-most-once request, a lost idempotent one, a wrong verdict, and a response that
// is delivered to the next request of the same endpoint.
await t.test('failure table', async (t) => {
	pauseMeasuredTime(t);
	t.jobs = ROWS.length;
	for (const {behaviour, idempotent, atMostOnce, deadlineMs} of ROWS) {
		for (const [retryRule, [result, runs]] of [
			['idempotent', idempotent],
			['at-most-once', atMostOnce],
		] as const) {
			void t.test(`${behaviour}, ${retryRule}, deadline ${deadlineMs ?? 10_000} ms`, async (t) => {
				const {endpoints, send} = await setUp(t, 2);
				for (const endpoint of endpoints) {
					await send(requestOf('idempotent', `warm-up ${endpoint.id}`));
				}

				const before = runsOf(endpoints);
				endpoints[0]!.script.push(behaviour);
				const limitMs = retryRule === 'at-most-once' ? (deadlineMs ?? 10_000) : 10_000;
				t.equal(await send(requestOf(retryRule, 'body', limitMs)), result);
				t.equal(runsOf(endpoints) - before, runs, 'runs');
				await sleep(20);
				for (const body of ['next 1', 'next 2', 'next 3']) {
					t.equal(await send(requestOf('idempotent', body)), body, 'the next caller gets its own response');
				}
			});
		}
	}
});

// Guards against a `not-run` for a request that ran: the refusal of the last attempt says nothing about an earlier one that got no response.
await t.test('a refusal does not hide an earlier attempt that may have run', async (t) => {
	for (const [retryRule, scripts, result, runs] of [
		['idempotent', ['die-after-running', 'refuse', 'refuse'], 'may-have-run', 1],
		['idempotent', ['refuse', 'die-after-running', 'refuse'], 'may-have-run', 1],
		['idempotent', ['refuse', 'refuse', 'refuse'], 'not-run', 0],
		['at-most-once', ['refuse', 'die-after-running', 'answer'], 'may-have-run', 1],
		['at-most-once', ['refuse', 'refuse', 'refuse'], 'not-run', 0],
	] as const) {
		const {endpoints, send} = await setUp(t, 3);
		for (const [index, behaviour] of scripts.entries()) {
			endpoints[index]!.script.push(behaviour);
		}

		t.equal(await send(requestOf(retryRule, 'body')), result, `${retryRule}: ${scripts.join(', ')}`);
		t.equal(runsOf(endpoints), runs, 'runs');
	}
});

// Guards against work that continues after its caller has disconnected, and against a wrong `not-run`.
await t.test('a cancelled call closes its connection to the endpoint', async (t) => {
	const {endpoints, send} = await setUp(t, 1);
	endpoints[0]!.script.push('go-silent');
	const controller = new AbortController();
	const result = send(requestOf('at-most-once', 'body'), controller.signal);
	await sleep(50);
	controller.abort(new ServiceError('the caller disconnected', {code: 'cancelled', verdict: 'may-have-run'}));
	t.equal(await result, 'may-have-run');
	await sleep(50);
	t.equal(endpoints[0]!.abandoned(), 1);
});

// Guards against requests to an endpoint that reported that it is draining, and against other instances not being told.
await t.test('an endpoint that is draining or closed gets no new requests', async (t) => {
	const {endpoints, send, leaving} = await setUp(t, 3);
	endpoints[0]!.script.push('drain');
	for (let index = 0; index < 10; index += 1) {
		t.equal(await send(requestOf('at-most-once', 'body')), 'body');
	}

	t.same(leaving, ['e0 draining']);
	t.equal(endpoints[0]!.runs(), 0);
	await send(requestOf('idempotent', 'body'));
	await endpoints[1]!.close();
	await sleep(100);
	t.same(leaving, ['e0 draining', 'e1 closed']);
	for (let index = 0; index < 10; index += 1) {
		t.equal(await send(requestOf('at-most-once', 'body')), 'body');
	}
});

// Guards against retries multiplying the load when every endpoint fails.
await t.test('retries stay within the budget and the ejected endpoints within their cap', async (t) => {
	// Without time passing no ejection ends, so their number does not depend on the machine's load.
	pauseMeasuredTime(t);
	const {endpoints, dispatcher, metrics, send} = await setUp(t, 10);
	for (const endpoint of endpoints) {
		endpoint.script.push(...Array.from<Behaviour>({length: 1000}).fill('die-after-running'));
	}

	for (let index = 0; index < 200; index += 1) {
		await send(requestOf('idempotent', 'body'));
	}

	const retries = metrics.read('endpoint_retries_total', {service: 'listings'});
	t.ok(retries > 0 && retries <= 30, `${retries} retries for 200 requests: the burst of 10 and 10%`);
	t.equal(runsOf(endpoints), 200 + retries);
	t.equal(metrics.read('endpoint_ejections_total', {service: 'listings'}), 3);
	t.ok(dispatcher.hasEndpoint(SERVICE));
});
