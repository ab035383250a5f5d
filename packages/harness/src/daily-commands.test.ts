import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {createLifecycle} from '@bergamotgauge/lifecycle';
import t from 'tap';
import {createProgramRun} from './test/program-run.js';
import {startService} from './test/service.js';

const lifecycle = createLifecycle('program');
t.teardown(async () => lifecycle.close());
const service = await startService(lifecycle);
const {tokens} = service;
const {run, write} = await createProgramRun(lifecycle, service.url);

const sha256Of = (token: string): string => createHash('sha256').update(token).digest('hex');

// Guards against everyday commands whose exit code or output differs from the documentation.
await t.test('a job from submission to cancellation', async (t) => {
	const asCaller = {BERGAMOTGAUGE_TOKEN: tokens.producers};
	const asOperator = {BERGAMOTGAUGE_TOKEN: tokens.quebecOperator};
	const file = await write('good.json', '{"jobClass": "render", "accelerators": 1, "declaredSeconds": 1}');
	const submitted = await run(['submit', file, '--json'], asCaller);
	const {id} = JSON.parse(submitted.output) as Readonly<{id: string}>;
	const explained = await run(['explain', id], asOperator);
	t.match(explained, {code: 0, output: new RegExp(`^Job ${id} of customer producers, class render, attempt 1`, 'v')});
	t.match(await run(['jobs'], asCaller), {code: 0, output: id});
	t.match(await run(['cancel', id], asCaller), {code: 0, output: /accepted/v});

	const example = fileURLToPath(new URL('../../../examples/shared/quebec', import.meta.url));
	const token = `kind: Token\nname: op\nrole: operator\npartner: quebec\nsha256: ${sha256Of(tokens.quebecOperator)}\n`;
	const shared = await Promise.all(
		['capacity', 'customers', 'work'].map(async (name) => readFile(path.join(example, `${name}.yaml`), 'utf8')),
	);
	const changed = shared.join('---\n').replace('weight: 4', 'weight: 5').replaceAll('share: 0.5', 'share: 0.4');
	const own = await write('own.yaml', `${changed}---\n${token}`);
	t.match(await run(['diff', own], asOperator), {code: 0, output: /~ customers\/producers\n {4}weight: 4 -> 5\n/v});
	const applied = await run(['apply', own, '--based-on', '1', '--wait'], asOperator);
	t.match(applied, {code: 0, output: /generation 2 accepted\n.*shared: the terms are a proposal until lima/v});
	t.match(applied.output, /generation 2 is in force on every live instance/v);
	const made = await run(['hash-token']);
	const {token: fresh = '', sha256 = ''} =
		/token: (?<token>\S+)\nsha256: (?<sha256>\S+)/v.exec(made.output)?.groups ?? {};
	t.equal(sha256, sha256Of(fresh));
	t.match(await run(['drain', 'q1', '--wait'], asOperator), {code: 0, output: 'q1 has stopped'});
});

// Guards against `apply --wait` that succeeds, or fails without naming the instance, while an instance has an older generation.
await t.test('apply names the instances that are behind', async (t) => {
	const member = (id: string, health: string, generation: number) => ({id, health, generation});
	const instances = [member('q1', 'alive', 5), member('q2', 'alive', 4), member('q3', 'dead', 1)];
	const responses: Readonly<Record<string, unknown>> = {
		'GET /v1/operator/bundle': {partner: 'quebec'},
		'PUT /v1/operator/bundle': {generation: 5},
		'GET /v1/operator/status': {generation: 5, instances},
	};
	const server = createServer((request, response) => {
		request.resume();
		response.end(JSON.stringify(responses[`${request.method} ${request.url}`]));
	});
	await once(server.listen(0, '127.0.0.1'), 'listening');
	t.teardown(() => server.close());
	const {port} = server.address() as AddressInfo;
	const file = await write('customer.yaml', 'kind: Customer\nname: x\npartner: quebec\nquota: {accelerators: 1}\n');
	const result = await run(['apply', file, '--wait', '--wait-seconds', '1', '--url', `http://127.0.0.1:${port}`], {
		BERGAMOTGAUGE_TOKEN: tokens.quebecOperator,
	});
	t.match(result, {code: 5, output: /generation 5 is not in force on: q2\n/v});
});

// Guards against an accepted change that is reported as failed because a later look at its effect was refused.
await t.test('an accepted apply stays accepted when its effect cannot be read', async (t) => {
	let isAccepted = false;
	const server = createServer((request, response) => {
		request.resume();
		if (request.method === 'PUT') {
			isAccepted = true;
			response.end('{"generation": 5}');
			return;
		}

		const refusal = {error: 'the instance is draining', code: 'draining', verdict: 'not-run'};
		response.statusCode = isAccepted ? 503 : 200;
		response.end(JSON.stringify(isAccepted ? refusal : {partner: 'quebec'}));
	});
	await once(server.listen(0, '127.0.0.1'), 'listening');
	t.teardown(() => server.close());
	const {port} = server.address() as AddressInfo;
	const file = await write('accepted.yaml', 'kind: Customer\nname: x\npartner: quebec\nquota: {accelerators: 1}\n');
	const url = `http://127.0.0.1:${port}`;
	const environment = {BERGAMOTGAUGE_TOKEN: tokens.quebecOperator};
	for (const [options, code] of [
		[[], 0],
		[['--wait', '--wait-seconds', '1'], 5],
	] as const) {
		isAccepted = false;
		const result = await run(['apply', file, '--json', '--url', url, ...options], environment);
		t.match(result, {code, output: /"generation": 5/v}, `exit code ${code}`);
		t.match(result.output, /accepted, but its effect cannot be read: the instance is draining/v);
	}
});

// Guards against an accepted drain that is reported as failed because a later look at the instances was refused.
await t.test('an accepted drain stays accepted when the status is refused', async (t) => {
	let isAccepted = false;
	let refusals = 0;
	const server = createServer((request, response) => {
		request.resume();
		if (request.method === 'POST') {
			isAccepted = true;
			response.end('{}');
		} else if (isAccepted && refusals > 0) {
			refusals -= 1;
			response.statusCode = 503;
			response.end(JSON.stringify({error: 'the instance is overloaded', code: 'overloaded', verdict: 'not-run'}));
		} else {
			const instances = isAccepted ? [] : [{id: 'q1', health: 'alive'}];
			response.end(JSON.stringify({answeredBy: 'q2', instances}));
		}
	});
	await once(server.listen(0, '127.0.0.1'), 'listening');
	t.teardown(() => server.close());
	const {port} = server.address() as AddressInfo;
	const command = ['drain', 'q1', '--wait', '--wait-seconds', '1', '--url', `http://127.0.0.1:${port}`];
	const environment = {BERGAMOTGAUGE_TOKEN: tokens.quebecOperator};

	refusals = 2;
	t.match(await run(command, environment), {code: 0, output: 'q1 has stopped'});
	for (const [options, output] of [
		[[], 'q1 is draining\n'],
		[['--json'], /\{\s*"instance": "q1"\s*\}/v],
	] as const) {
		isAccepted = false;
		refusals = Number.POSITIVE_INFINITY;
		const result = await run([...command, ...options], environment);
		t.match(result, {code: 5, output});
		t.match(result.output, /q1 is draining, but its state cannot be read: the instance is overloaded/v);
	}
});
