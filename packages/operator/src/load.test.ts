import t from 'tap';
import {loadTexts} from './index.js';

const VALID = `kind: Pool
name: p
weights: {completionTime: 1, fragmentation: 0}
shares:
  - {partner: q, share: 1}
---
kind: Rack
name: r1
partner: q
pool: p
availabilityZone: a
workerDefaults: {cores: 8, memoryGigabytes: 8, accelerators: 8, labels: {gpu: a}}
workers:
  - name: w1
  - name: w2
---
kind: Customer
name: c
partner: q
quota: {accelerators: 8}
`;

/** Name, text, line in the text, and parts of the expected message. */
type Case = readonly [string, string, number, ...string[]];

const RACK = `kind: Rack\nname: r2\npool: p\navailabilityZone: a\nworkerDefaults: {cores: 8, memoryGigabytes: 8, accelerators: 8}`;
const CUSTOMER = 'kind: Customer\nname: x\npartner: q\nquota: {accelerators: 1}';
const GUARANTEE = 'kind: Guarantee\nname: g\ncustomer: c\naccelerators: 8';
const POOL = 'kind: Pool\nname: x\nweights: {completionTime: 1, fragmentation: 0}';
const RULE = 'kind: PlacementRule\nname: g\npartner: q\nworkSelector: {}';
const TOKEN = `kind: Token\nname: x\nsha256: ${'a'.repeat(64)}\nrole: caller`;
const TOO_LONG = 'x'.repeat(256);
const ALIAS_BOMB = [...'bcdefghi']
	.map((key, index) => `${key}: &${key} [${`*${'abcdefgh'[index]}, `.repeat(9)}]`)
	.join('\n');

// Line numbers are relative to the case's text, which is appended to VALID after a separator.
const CASES: readonly Case[] = [
	['unknown key', `${CUSTOMER}\ngpus: 7`, 5, 'gpus', '7'],
	[
		'wrong type',
		'kind: Customer\nname: x\npartner: q\nquota:\n  accelerators: many',
		5,
		'quota.accelerators',
		'"many"',
	],
	['malformed YAML', 'kind: Customer\nname: [x\npartner: q', 3, 'partner: q'],
	['repeated key', 'kind: Customer\nname: x\nname: y', 3, 'name: y'],
	['unknown kind', 'kind: Costumer\nname: x', 1, '"Costumer"', 'Customer'],
	['kind of the prototype', 'kind: constructor\nname: x', 1, '"constructor"'],
	['not a map', '- 1', 1, '[1]'],
	['duplicate name', CUSTOMER.replace('x', 'c'), 2, '"c"', 'f.yaml:17'],
	['missing reference', `${GUARANTEE.replace('customer: c', 'customer: nobody')}\ncount: 1`, 3, 'customer "nobody"'],
	[
		'selector without match',
		`${GUARANTEE}\ncount: 1\nworkerSelector:\n  matchLabels: {gpu: z}`,
		6,
		'"gpu":"z"',
		'matches no',
	],
	[
		'rule without match',
		`${RULE}\nworkerSelector: {matchExpressions: [{key: constructor, operator: Exists}]}`,
		5,
		'matches no',
	],
	['guarantee that does not fit', `${GUARANTEE}\ncount: 3`, 1, 'guarantee g does not fit'],
	['shares above 1', `${POOL}\nshares: [{partner: q, share: 0.6}, {partner: s, share: 0.6}]`, 4, '0.6', 'more than 1'],
	['weight out of range', `${CUSTOMER}\nweight: -2`, 5, 'weight is -2'],
	['label key out of range', `${CUSTOMER}\nlabels:\n  "a b": c`, 6, 'a b', 'label key'],
	['label value out of range', `${CUSTOMER}\nlabels:\n  a: ${TOO_LONG}`, 6, 'labels.a', 'xxx'],
	['key __proto__', `${CUSTOMER}\nlabels:\n  __proto__: c`, 6, '__proto__'],
	['worker in two racks', `${RACK}\nworkers:\n  - name: w9\n  - name: w1`, 8, 'worker "w1"', 'rack "r1"'],
	['positions that collide', `${RACK}\nworkers:\n  - {name: w8, position: 1}\n  - name: w9`, 8, '"w9"', 'position 1'],
	['alias without bound', `kind: Customer\nname: x\na: &a [1, 1]\n${ALIAS_BOMB}`, 11, 'alias "*h"'],
	['alias that contains itself', 'kind: Customer\nname: x\nlabels: &a\n  b: *a', 4, 'nested'],
	['unknown tag', 'kind: Customer\nname: !!secret x', 2, '(not shown)'],
	['alias without anchor', 'kind: Customer\nname: x\npartner: *nowhere', 3, 'nowhere'],
	["other's customer in a token", `${TOKEN}\npartner: other\ncustomer: c`, 6, 'customer "c" does not belong'],
];

// Guards against faults that an operator cannot locate: each must report the file, the line and the value.
await t.test('loadTexts names file, line and value', async (t) => {
	const valid = loadTexts([{file: 'f.yaml', text: VALID}]);
	t.ok(valid.ok, JSON.stringify(valid));
	const offset = VALID.split('\n').length;
	for (const [name, text, line, ...messageParts] of CASES) {
		const result = loadTexts([{file: 'f.yaml', text: `${VALID}---\n${text}\n`}]);
		const faults = result.ok ? [] : result.faults;
		const fault = faults.find((item) => messageParts.every((part) => item.message.includes(part)));
		t.equal(fault?.file, 'f.yaml', `${name}: ${JSON.stringify(faults)}`);
		t.equal(fault?.line, line + offset, `${name}, line: ${JSON.stringify(faults)}`);
	}
});

// Guards against accepting a pool whose partners declare different shares.
await t.test('two partners declare one pool', async (t) => {
	const pool = (partner: string, share: number) =>
		`kind: Pool\nname: p\npartner: ${partner}\nweights: {completionTime: 1, fragmentation: 1}\nshares:\n  - {partner: a, share: ${share}}\n  - {partner: b, share: 0.5}\n`;
	t.ok(
		loadTexts([
			{file: 'a.yaml', text: pool('a', 0.5)},
			{file: 'b.yaml', text: pool('b', 0.5)},
		]).ok,
	);
	const result = loadTexts([
		{file: 'a.yaml', text: pool('a', 0.5)},
		{file: 'b.yaml', text: pool('b', 0.4)},
	]);
	t.match(result, {
		ok: false,
		faults: [{file: 'b.yaml', line: 2, message: /differ from those of partner "a" at a.yaml:1/v}],
	});
});

// Guards against error messages that print a plaintext token which an operator wrote into a file by mistake.
await t.test('a token in clear is not echoed', async (t) => {
	const secret = 'S3cretS3cretS3cretS3cret';
	const token = (lines: string) => `kind: Token\nname: x\nrole: operator\npartner: q\n${lines}\n`;
	for (const lines of [`sha256: ${secret}`, `token: ${secret}`, `sha256: [${secret}`]) {
		const result = loadTexts([{file: 'f.yaml', text: token(lines)}]);
		t.equal(result.ok, false, lines);
		t.notMatch(JSON.stringify(result), secret, lines);
	}
});
