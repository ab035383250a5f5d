import path from 'node:path';
import {createLifecycle} from '@bergamotgauge/lifecycle';
import t from 'tap';
import {createProgramRun} from './test/program-run.js';
import {startService} from './test/service.js';

const lifecycle = createLifecycle('program');
t.teardown(async () => lifecycle.close());
const service = await startService(lifecycle);
const {tokens} = service;
const {run, write} = await createProgramRun(lifecycle, service.url);

const CONCURRENT_RUNS = 3;

/** Name, arguments, token, expected exit code, and expected pattern in the output. */
type ProgramCase = readonly [string, readonly string[], string, number, RegExp];

// Guards against invalid input that makes the CLI exit with the wrong code, omit the cause, print a token or change the store.
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
		['duplicate name', ['apply', twice], operator, 2, /twice.yaml:7: .*"x" is declared already at .*twice.yaml:1/v],
		['selector without match', ['apply', unmatched], operator, 2, /unmatched.yaml:5: .*matches no declared worker/v],
		['file of 10 MB', ['validate', large], operator, 2, /10000003 bytes/v],
		['missing directory', ['validate', path.join('none', 'there')], operator, 2, /cannot read/v],
		['no token', ['status'], '', 2, /--token is not an access token/v],
		['unknown token', ['status'], 'not-a-token-of-anyone', 6, /not known/v],
		['bad URL', ['status', '--url', 'ftp://x'], operator, 2, /'--url <url>' argument 'ftp:\/\/x'.*http/v],
		['bad generation', ['apply', valid, '--based-on', 'x'], operator, 2, /--based-on.*'x'.*whole number/v],
		['bad wait', ['apply', valid, '--wait-seconds', '0'], operator, 2, /--wait-seconds.*'0'.*from 1 to 3600/v],
		['unreachable instance', ['status', '--url', 'http://127.0.0.1:1'], operator, 4, /does not answer/v],
		['job that is not JSON', ['submit', notJson], caller, 2, /is not JSON/v],
		['unknown job', ['cancel', 'a/b'], caller, 1, /no such job/v],
		['explain as a caller', ['explain', 'x'], caller, 6, /not an operator token/v],
		['drain of an unknown instance', ['drain', 'q9', '--wait'], operator, 1, /q9/v],
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
	const check = async ([name, args, token, code, pattern]: ProgramCase) => {
		const result = await run(args, {BERGAMOTGAUGE_TOKEN: token});
		t.equal(result.code, code, `${name}: ${result.output.slice(0, 300)}`);
		t.match(result.output, pattern, name);
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
