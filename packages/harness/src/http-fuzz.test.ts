import {createLifecycle} from '@bergamotgauge/lifecycle';
import fc from 'fast-check';
import t from 'tap';
import {request} from 'undici';
import {startService} from './test/service.js';

const RUNS = {seed: 20_261_203, numRuns: 150};

const lifecycle = createLifecycle('http-fuzz');
t.teardown(async () => lifecycle.close());
const service = await startService(lifecycle);
const {declarations, tokens} = service;
const JOB = {jobClass: 'render', accelerators: 1, declaredSeconds: 1};

const check = async (method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, token: string, body?: string) => {
	const response = await request(`${service.url}${path}`, {
		method,
		headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
		...(body !== undefined && {body}),
	});
	const text = await response.body.text();
	if (response.statusCode >= 500 || (response.statusCode >= 400 && !text.includes('"verdict":"not-run"'))) {
		throw new Error(`${method} ${path} returned ${response.statusCode}: ${text.slice(0, 500)}`);
	}
};

const keys = fc.oneof(fc.constantFrom('labels', 'payload', 'workerSelector', '__proto__', 'constructor'), fc.string());
const changes = fc.dictionary(keys, fc.jsonValue());

// Guards against request bodies that cause a 5xx response, a response without a verdict, or no response.
await t.test('any body gets a verdict', async (t) => {
	const bundle = '/v1/operator/bundle';
	const send = async (body: string) => check('PUT', bundle, tokens.quebecOperator, body);
	await fc.assert(fc.asyncProperty(fc.string({unit: 'binary'}), send), RUNS);
	await fc.assert(fc.asyncProperty(fc.json(), send), RUNS);
	const collections = fc.constantFrom(...Object.keys(declarations));
	await fc.assert(
		fc.asyncProperty(collections, fc.jsonValue(), async (collection, value) =>
			send(JSON.stringify({basedOn: 1, declarations: {...declarations, [collection]: value}})),
		),
		RUNS,
	);
	const submit = async (body: string) => check('POST', '/v1/jobs', tokens.producers, body);
	await fc.assert(fc.asyncProperty(fc.string({unit: 'binary'}), submit), RUNS);
	await fc.assert(
		fc.asyncProperty(changes, async (change) => submit(JSON.stringify({...JOB, ...change}))),
		RUNS,
	);
	t.pass('every response had a status below 500 and errors had a verdict');
});

// Guards against job ids that cause a 5xx response or a response without a verdict.
await t.test('any id gets a verdict', async (t) => {
	const ids = fc.oneof(fc.string({unit: 'binary', minLength: 1}), fc.constantFrom('__proto__', '..', 'a/b', '%'));
	await fc.assert(
		fc.asyncProperty(ids, fc.constantFrom('GET', 'DELETE'), async (id, method) => {
			await check(method, `/v1/jobs/${encodeURIComponent(id)}`, tokens.producers);
		}),
		RUNS,
	);
	await fc.assert(
		fc.asyncProperty(ids, async (id) => {
			const path = `/v1/operator/jobs/${encodeURIComponent(id)}/explanation`;
			await check('GET', path, tokens.quebecOperator);
		}),
		RUNS,
	);
	t.pass('every response had a status below 500 and errors had a verdict');
});
