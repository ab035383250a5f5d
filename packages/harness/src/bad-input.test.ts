import {createLifecycle} from '@bergamotgauge/lifecycle';
import {createOperatorClient} from '@bergamotgauge/operator';
import t from 'tap';
import {request} from 'undici';
import {startService, waitUntil, type TokenName} from './test/service.js';

const lifecycle = createLifecycle('bad-input');
t.teardown(async () => lifecycle.close());
const service = await startService(lifecycle);
const {tokens, declarations} = service;

type Method = 'GET' | 'PUT' | 'POST' | 'DELETE';

type Reply = Readonly<{status: number; body: string; retryAfter: unknown}>;

const send = async (target: string, token?: string, body?: string): Promise<Reply> => {
	const [method, location] = target.split(' ') as [Method, string];
	const response = await request(`${service.url}${location}`, {
		method,
		headers: {'content-type': 'application/json', ...(token !== undefined && {authorization: `Bearer ${token}`})},
		...(body !== undefined && {body}),
	});
	return {
		status: response.statusCode,
		body: await response.body.text(),
		retryAfter: response.headers['retry-after'],
	};
};

const bundleBody = (change: Readonly<Record<string, unknown>>, basedOn = 1): string =>
	JSON.stringify({basedOn, declarations: {...declarations, ...change}});

const JOB = {jobClass: 'render', accelerators: 1, declaredSeconds: 1};

const CUSTOMER = declarations.customers.find(({name}) => name === 'producers')!;
const UNMATCHED_SELECTOR = {workerSelector: {matchLabels: {no: 'where'}}};
const GUARANTEE = {name: 'g', customer: 'producers', count: 1, accelerators: 1};
const TEN_MEGABYTES = `"${'x'.repeat(10_000_000)}"`;
const DEEPLY_NESTED = `${'['.repeat(30_000)}${']'.repeat(30_000)}`;
const BUNDLE = 'PUT /v1/operator/bundle';
const SUBMIT = 'POST /v1/jobs';

const jobBody = (change: Readonly<Record<string, unknown>>): string => JSON.stringify({...JOB, ...change});

/** Name, token, method and path, body, expected status, and expected pattern in the response. */
type HttpCase = readonly [string, TokenName | undefined, string, string | undefined, number, RegExp];

const OPERATOR = 'quebecOperator';
const CALLER = 'producers';

const HTTP_CASES: readonly HttpCase[] = [
	['no token', undefined, 'GET /v1/jobs', undefined, 401, /bearer token/v],
	['10 MB without a token', undefined, BUNDLE, TEN_MEGABYTES, 401, /bearer token/v],
	['caller as operator', 'producers', 'GET /v1/operator/bundle', undefined, 403, /not an operator token/v],
	['operator as caller', OPERATOR, 'GET /v1/jobs', undefined, 403, /not a caller token/v],
	['malformed JSON', OPERATOR, BUNDLE, '{"basedOn": ', 400, /JSON/v],
	['no body', OPERATOR, BUNDLE, undefined, 400, /basedOn/v],
	['negative generation', OPERATOR, BUNDLE, '{"basedOn": -1, "declarations": {}}', 400, /basedOn/v],
	['body of 10 MB', OPERATOR, BUNDLE, TEN_MEGABYTES, 413, /too large/v],
	['stale generation', OPERATOR, BUNDLE, bundleBody({}, 0), 409, /generation 1 is in force/v],
	['unknown key', OPERATOR, BUNDLE, bundleBody({gpus: []}), 400, /gpus/v],
	['prototype key', OPERATOR, BUNDLE, '{"basedOn": 1, "declarations": {"__proto__": {}}}', 400, /__proto__/v],
	['prototype name', OPERATOR, BUNDLE, bundleBody({customers: [{...CUSTOMER, name: '__proto__'}]}), 400, /__proto__/v],
	['duplicate name', OPERATOR, BUNDLE, bundleBody({customers: [CUSTOMER, CUSTOMER]}), 400, /declared twice/v],
	[
		'selector without match',
		OPERATOR,
		BUNDLE,
		bundleBody({guarantees: [{...GUARANTEE, ...UNMATCHED_SELECTOR}]}),
		400,
		/matches no/v,
	],
	[
		'guarantee too large',
		OPERATOR,
		BUNDLE,
		bundleBody({guarantees: [{...GUARANTEE, count: 999}]}),
		422,
		/g does not fit/v,
	],
	[
		'customer of another partner',
		'limaOperator',
		BUNDLE,
		bundleBody({customers: [{...CUSTOMER, weight: 9}]}),
		403,
		/customers\/producers/v,
	],
	['no operator token', OPERATOR, BUNDLE, bundleBody({tokens: []}), 400, /no operator token/v],
	[
		'explanation of an unknown job',
		OPERATOR,
		'GET /v1/operator/jobs/__proto__/explanation',
		undefined,
		404,
		/no such job/v,
	],
	[
		'drain of an unknown instance',
		OPERATOR,
		'POST /v1/operator/instances/constructor/drain',
		'{}',
		404,
		/constructor/v,
	],
	['job: malformed JSON', CALLER, SUBMIT, '{', 400, /JSON/v],
	['job: 10 MB', CALLER, SUBMIT, TEN_MEGABYTES, 413, /too large/v],
	[
		'job: deep nesting',
		CALLER,
		SUBMIT,
		jobBody({}).replace('}', `, "payload": ${DEEPLY_NESTED}}`),
		400,
		/nested more than/v,
	],
	[
		'job: prototype key',
		CALLER,
		SUBMIT,
		jobBody({}).replace('}', ', "labels": {"__proto__": "x"}}'),
		400,
		/__proto__/v,
	],
	['job: prototype class', CALLER, SUBMIT, jobBody({jobClass: 'constructor'}), 422, /constructor/v],
	['job: selector without match', CALLER, SUBMIT, jobBody(UNMATCHED_SELECTOR), 422, /no declared worker/v],
	['job id with a slash', 'producers', 'GET /v1/jobs/a%2Fb', undefined, 404, /no such job/v],
	['job id of the prototype', 'producers', 'DELETE /v1/jobs/__proto__', undefined, 404, /no such job/v],
	['job id that is not UTF-8', 'producers', 'GET /v1/jobs/%E0%A4', undefined, 400, /decode/v],
	['service of the prototype', 'producers', 'POST /v1/services/__proto__/x', '{}', 404, /no such service/v],
	['service of another partner', 'producers', 'POST /v1/services/internships/x', '{}', 404, /no such service/v],
	['no such route', OPERATOR, 'GET /v1/operator/secrets', undefined, 404, /no such route/v],
];

// Guards against invalid input that crashes an instance, gets an error without its cause, or is rejected but still changes the store.
await t.test('bad input over HTTP', async (t) => {
	const before = await service.contents();
	for (const [name, token, target, body, status, pattern] of HTTP_CASES) {
		const reply = await send(target, token && tokens[token], body);
		t.equal(reply.status, status, `${name}: ${reply.body.slice(0, 200)}`);
		t.match(reply.body, pattern, name);
		t.match(JSON.parse(reply.body), {code: String, verdict: 'not-run'}, `${name}: verdict`);
		t.strictSame(await service.contents(), before, `${name}: nothing is stored`);
	}

	const bootstrap = await send(BUNDLE, service.bootstrapToken, bundleBody({}));
	t.equal(bootstrap.status, 401, 'the bootstrap token is rejected after the first bundle');
	t.notMatch(bootstrap.body, service.bootstrapToken);
	t.strictSame(await service.contents(), before);
});

// Guards against a customer or operator who can see or cancel the jobs of other customers. A response that differs from
// that for an unknown job would reveal that the job exists.
await t.test('jobs of other customers look like unknown jobs', async (t) => {
	const producers = createOperatorClient({url: service.url, token: tokens.producers});
	const {id} = (await producers.call('POST', '/v1/jobs', JOB)) as Readonly<{id: string}>;
	for (const name of ['agents', 'universities'] as const) {
		for (const method of ['GET', 'DELETE']) {
			const other = await send(`${method} /v1/jobs/${id}`, tokens[name]);
			const none = await send(`${method} /v1/jobs/0198c0de-0000-7000-8000-000000000000`, tokens[name]);
			t.strictSame(other, none, `${method} by ${name} gets the response of a job that does not exist`);
			t.equal(other.status, 404);
		}

		t.match(await send('GET /v1/jobs', tokens[name]), {body: '{"jobs":[]}'});
	}

	const explanation = `GET /v1/operator/jobs/${id}/explanation`;
	const none = await send('GET /v1/operator/jobs/none/explanation', tokens.limaOperator);
	t.strictSame(await send(explanation, tokens.limaOperator), none);
	t.match(await send(explanation, tokens.quebecOperator), {status: 200});
	t.match(await send('GET /v1/operator/status', tokens.limaOperator), {body: /"queuedJobs":0/v});
	t.match(await send('GET /v1/operator/status', tokens.quebecOperator), {body: /"queuedJobs":1/v});
	t.match(await send(`GET /v1/jobs/${id}`, tokens.producers), {status: 200, body: /"attempt":1/v});
	const bundle = await send('GET /v1/operator/bundle', tokens.limaOperator);
	t.notMatch(bundle.body, declarations.tokens[0]!.sha256, 'token hashes of the other partner are not returned');
});

// Guards against labels of a worker's entry in the instance list that override the labels declared by an operator.
await t.test('declared labels take precedence over listed labels', async (t) => {
	const labels = {pool: 'listed', owner: 'listed', extra: 'listed'};
	const worker = {
		id: 'quebec-r1-w1',
		role: 'worker',
		address: '127.0.0.1:9',
		availabilityZone: 'z',
		state: 'live',
		labels,
	};
	const registration = await request(`${service.listUrl}/v1/instances/quebec-r1-w1`, {
		method: 'PUT',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify(worker),
	});
	await registration.body.dump();
	const jobOn = (matchLabels: Readonly<Record<string, string>>): string =>
		jobBody({workerSelector: {matchLabels: {worker: 'quebec-r1-w1', ...matchLabels}}});
	await waitUntil('worker in the instance list', async () => {
		const response = await request(`${service.listUrl}/v1/instances`);
		const listing = await response.body.text();
		return listing.includes('listed');
	});
	t.match(await send(SUBMIT, tokens.producers, jobOn({owner: 'quebec', pool: 'shared'})), {status: 202});
	t.match(await send(SUBMIT, tokens.producers, jobOn({owner: 'listed'})), {status: 422});
	const {bundle} = await createOperatorClient({url: service.url, token: tokens.quebecOperator}).bundle();
	t.strictSame(bundle?.racks.find(({name}) => name === 'quebec-rack-1')?.workers[0]?.labels, {
		pool: 'shared',
		owner: 'quebec',
	});
});

// Guards against unlimited guessing of tokens, and against a rate limit that also rejects valid tokens.
await t.test('failed authentications are limited', async (t) => {
	const statuses: number[] = [];
	for (let index = 0; index < 30; index += 1) {
		const reply = await send('GET /v1/jobs', `wrong-token-number-${index}`);
		statuses.push(reply.status);
		t.notMatch(reply.body, 'wrong-token');
	}

	t.equal(statuses.at(-1), 429);
	const limited = await send('GET /v1/operator/bundle', 'wrong-token-of-an-operator');
	t.equal(limited.status, 429);
	t.ok(Number(limited.retryAfter) > 0);
	t.match(await send('GET /v1/jobs', tokens.producers), {status: 200}, 'a valid token is still accepted');
});
