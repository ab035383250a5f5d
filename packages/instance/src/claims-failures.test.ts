import {Buffer} from 'node:buffer';
import {sendAtMostOnce, type Claims} from '@bergamotgauge/caller';
import type {EndpointResponse, EndpointRequest} from '@bergamotgauge/endpoint';
import {createLifecycle} from '@bergamotgauge/lifecycle';
import {ServiceError, type RetryRule, type Verdict} from '@bergamotgauge/model';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import t from 'tap';
import {createClaimService} from './claims-service.js';
import {createFakeStore, type FakeStore} from './test/fake-store.js';

/** Outcome that the dispatcher reports for an endpoint failure; the endpoint package tests the dispatcher on sockets. */
type FailureCase = Readonly<{
	failure: string;
	/** Number of times that the request runs at the endpoint. */
	runs: number;
	/** What the sending instance sees: a response (`answer`) or a verdict. */
	seen: 'answer' | Verdict;
}>;

const FAILURE_CASES: readonly FailureCase[] = [
	{failure: 'answers', runs: 1, seen: 'answer'},
	{failure: 'refuses', runs: 0, seen: 'not-run'},
	{failure: 'dies before reading', runs: 0, seen: 'may-have-run'},
	{failure: 'dies after running', runs: 1, seen: 'may-have-run'},
	{failure: 'stalls past the deadline', runs: 1, seen: 'may-have-run'},
	{failure: 'answers late', runs: 1, seen: 'answer'},
	{failure: 'answers twice', runs: 1, seen: 'answer'},
	{failure: 'answers cut', runs: 1, seen: 'may-have-run'},
	{failure: 'goes silent', runs: 1, seen: 'may-have-run'},
];

const RESPONSE: EndpointResponse = {endpoint: 'e1', status: 200, headers: {}, body: Buffer.from('done')};

const requestOf = (id: string, retryRule: RetryRule): EndpointRequest =>
	({
		id,
		service: {name: 'listings'},
		customer: 'acme',
		requestClass: 'notice',
		retryRule,
		method: 'POST',
		path: '/',
		headers: {},
		body: Buffer.from('notice'),
		deadlineMs: 1000,
	}) as unknown as EndpointRequest;

const createInstance = (store: FakeStore, id: string): Claims =>
	createClaimService({
		store,
		log: createSilentLog(),
		metrics: createMetrics(),
		lifecycle: createLifecycle(id),
		membership: {owners: () => [id], link: () => undefined},
		settings: {id},
	});

/** An instance that is killed between the end of a request and the record of it. */
const killed = (claims: Claims): Claims => ({...claims, async finish() {}});

// Guards against a second run of an at-most-once request, a response other than the first, and a `not-run` for what ran.
for (const {failure, runs, seen} of FAILURE_CASES) {
	for (const instanceState of ['survives', 'dies'] as const) {
		for (const retryRule of ['at-most-once', 'idempotent'] as const) {
			await t.test(`endpoint ${failure}, ${retryRule}, instance ${instanceState}`, async (t) => {
				const store = createFakeStore();
				const first = createInstance(store, 'a');
				let count = 0;
				let script: FailureCase | undefined = {failure, runs, seen};
				const dispatcher = {
					async dispatch() {
						const row = script;
						script = undefined;
						count += row?.runs ?? 1;
						if (row && row.seen !== 'answer') {
							throw new ServiceError(failure, {code: 'endpoint-failed', verdict: row.seen});
						}

						return RESPONSE;
					},
				};
				const send = async (claims: Claims, id: string): Promise<string> => {
					const request = requestOf(id, retryRule);
					const {signal} = new AbortController();
					try {
						const sent =
							retryRule === 'idempotent'
								? {endpointResponse: await dispatcher.dispatch(), isReplay: false}
								: await sendAtMostOnce({claims, dispatcher, key: 'k', request, signal});
						return Buffer.from(sent.endpointResponse.body).toString();
					} catch (error) {
						return (error as ServiceError).verdict;
					}
				};

				const result = await send(instanceState === 'dies' ? killed(first) : first, 'r1');
				t.equal(result, seen === 'answer' ? 'done' : seen);
				const repeat = await send(createInstance(store, 'b'), 'r2');
				if (retryRule === 'idempotent') {
					t.equal(repeat, 'done');
					t.equal(count, runs + 1);
				} else if (instanceState === 'dies') {
					t.equal(repeat, 'may-have-run', 'the end of the request was not recorded');
					t.equal(count, runs);
				} else {
					t.equal(repeat, seen === 'may-have-run' ? 'may-have-run' : 'done');
					t.equal(count, seen === 'not-run' ? 1 : runs);
				}
			});
		}
	}
}
