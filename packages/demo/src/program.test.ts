import {spawn} from 'node:child_process';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:http';
import {createRequire} from 'node:module';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';
import {createLifecycle} from '@bergamotgauge/lifecycle';
import t from 'tap';
import {startService} from './service.js';

const lifecycle = createLifecycle('program');
t.teardown(async () => lifecycle.close());
const service = await startService(lifecycle);
const {tokens} = service;
const directory = await mkdtemp(path.join(tmpdir(), 'bergamotgauge-'));
t.teardown(async () => rm(directory, {recursive: true}));
const PROGRAM = path.join(path.dirname(createRequire(import.meta.url).resolve('@bergamotgauge/cli')), 'main.js');

const CONCURRENT_RUNS = 3;

const sha256Of = (token: string): string => createHash('sha256').update(token).digest('hex');

type Run = Readonly<{code: number | undefined; output: string}>;

const run = async (args: readonly string[], variables: Readonly<Record<string, string>> = {}): Promise<Run> => {
	const child = spawn(process.execPath, [PROGRAM, ...args], {
		env: {...process.env, BERGAMOTGAUGE_URL: service.url, ...variables},
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	const exited = new Promise<number | undefined>((resolve) => {
		child.once('close', (code) => {
			resolve(code ?? undefined);
		});
	});
	const [output, errors] = await Promise.all([text(child.stdout), text(child.stderr)]);
	return {code: await exited, output: output + errors};
};

const write = async (file: string, content: string): Promise<string> => {
	const target = path.join(directory, file);
	await writeFile(target, content);
	return target;
};

/** Name, arguments, token, exit code, and what the output says. */
type ProgramCase = readonly [string, readonly string[], string, number, RegExp];

// Guards against a program that ends with the wrong code or without naming the fault.
await t.test('bad input to the program', async (t) => {
	const document = 'kind: Customer\nname: x\npartner: quebec\nquota: {accelerators: 1}\n';
	const rule =
		'kind: PlacementRule\nname: r\npartner: quebec\nworkSelector: {}\nworkerSelector:\n  matchLabels: {no: where}\n';
	const valid = await write('valid.yaml', document);
	const malformed = await write('malformed.yaml', 'kind: Customer\nname: [x\n');
	const twice = await write('twice.yaml', `${document}---\n${document}`);
	const unmatched = await write('unmatched.yaml', rule);
	const large = await write('large.yaml', `# ${'x'.repeat(10_000_000)}\n`);
	const notJson = await write('job.json', '{"jobClass": ');
	const {quebecOperator: operator, producers: caller} = tokens;
	const cases: readonly ProgramCase[] = [
		['unknown flag', ['apply', valid, '--force'], operator, 2, /--force/v],
		['unknown command', ['destroy'], operator, 2, /destroy/v],
		['malformed YAML', ['apply', malformed], operator, 2, /malformed.yaml:3: .+/v],
		['two of one name', ['apply', twice], operator, 2, /twice.yaml:7: .*"x" is declared already at .*twice.yaml:1/v],
		['selector without match', ['apply', unmatched], operator, 2, /unmatched.yaml:5: .*matches no declared worker/v],
		['file of 10 MB', ['validate', large], operator, 2, /10000003 bytes/v],
		['missing directory', ['validate', path.join(directory, 'none')], operator, 2, /cannot read/v],
		['no token', ['status'], '', 2, /--token is not an access token/v],
		['unknown token', ['status'], 'not-a-token-of-anyone', 6, /not known/v],
		['bad URL', ['status', '--url', 'ftp://x'], operator, 2, /'--url <url>' argument 'ftp:\/\/x'.*http/v],
		['bad generation', ['apply', valid, '--based-on', 'x'], operator, 2, /--based-on.*'x'.*whole number/v],
		['bad wait', ['apply', valid, '--wait-seconds', '0'], operator, 2, /--wait-seconds.*'0'.*from 1 to 3600/v],
		['no instance', ['status', '--url', 'http://127.0.0.1:1'], operator, 4, /does not answer/v],
		['job that is not JSON', ['submit', notJson], caller, 2, /is not JSON/v],
		['job of nobody', ['cancel', 'a/b'], caller, 1, /no such job/v],
		['explain as a caller', ['explain', 'x'], caller, 6, /not an operator token/v],
		['drain of no instance', ['drain', 'q9', '--wait'], operator, 1, /q9/v],
		[
			'stale generation',
			['apply', valid, '--based-on', '0'],
			operator,
			3,
			/- services\/listings.*generation 1 is in force/sv,
		],
		['serve without settings', ['serve', '--port', '99999'], '', 2, /--port is "99999"; allowed: .* from 0 to 65535/v],
	];
	const before = await service.contents();
	const check = async ([name, args, token, code, says]: ProgramCase) => {
		const result = await run(args, {BERGAMOTGAUGE_TOKEN: token});
		t.equal(result.code, code, `${name}: ${result.output.slice(0, 300)}`);
		t.match(result.output, says, name);
		const secrets = Object.values(tokens).filter((secret) => result.output.includes(secret));
		t.strictSame(secrets, [], `${name}: no token in the output`);
	};

	for (let first = 0; first < cases.length; first += CONCURRENT_RUNS) {
		await Promise.all(cases.slice(first, first + CONCURRENT_RUNS).map(async (item) => check(item)));
	}

	const variables = {BERGAMOTGAUGE_TOKEN: operator, BERGAMOTGAUGE_JSON: 'maybe', BERGAMOTGAUGE_WAIT_SECONDS: '0'};
	t.match(await run(['status'], variables), {
		code: 2,
		output: /BERGAMOTGAUGE_JSON is "maybe"; allowed: true or false/v,
	});
	t.match(await run(['apply', valid], {...variables, BERGAMOTGAUGE_JSON: 'true'}), {
		code: 2,
		output: /BERGAMOTGAUGE_WAIT_SECONDS.*from 1 to 3600/v,
	});
	t.strictSame(await service.contents(), before, 'nothing is stored');
});

// Guards against commands of the daily path that print something else than the docs say.
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

// Guards against `apply --wait` that ends well, or without a name, while an instance has an older generation.
await t.test('apply names the instances that are behind', async (t) => {
	const member = (id: string, health: string, generation: number) => ({id, health, generation});
	const instances = [member('q1', 'alive', 5), member('q2', 'alive', 4), member('q3', 'dead', 1)];
	const answers: Readonly<Record<string, unknown>> = {
		'GET /v1/operator/bundle': {partner: 'quebec'},
		'PUT /v1/operator/bundle': {generation: 5},
		'GET /v1/operator/status': {generation: 5, instances},
	};
	const server = createServer((request, response) => {
		request.resume();
		response.end(JSON.stringify(answers[`${request.method} ${request.url}`]));
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
