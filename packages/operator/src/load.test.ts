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

type Case = Readonly<{name: string; text: string; line: number; says: readonly string[]}>;

const RACK = 'kind: Rack\nname: r2\npool: p\navailabilityZone: a\n';
const SIZE = 'workerDefaults: {cores: 8, memoryGigabytes: 8, accelerators: 8}\n';

// Lines count from the first line of the text that stands after VALID and a separator.
const CASES: readonly Case[] = [
	{
		name: 'unknown key',
		text: 'kind: Customer\nname: x\npartner: q\nquota:\n  accelerators: 1\n  gpus: 7\n',
		line: 6,
		says: ['quota.gpus', '7'],
	},
	{
		name: 'wrong type',
		text: 'kind: Customer\nname: x\npartner: q\nquota:\n  accelerators: many\n',
		line: 5,
		says: ['quota.accelerators', '"many"'],
	},
	{name: 'malformed YAML', text: 'kind: Customer\nname: [x\npartner: q\n', line: 3, says: ['partner: q']},
	{name: 'repeated key', text: 'kind: Customer\nname: x\nname: y\n', line: 3, says: ['name: y']},
	{name: 'unknown kind', text: 'kind: Costumer\nname: x\n', line: 1, says: ['"Costumer"', 'Customer']},
	{name: 'kind of the prototype', text: 'kind: constructor\nname: x\n', line: 1, says: ['"constructor"']},
	{name: 'not a map', text: '- 1\n', line: 1, says: ['[1]']},
	{
		name: 'duplicate name',
		text: '\nkind: Customer\nname: c\npartner: q\nquota: {accelerators: 1}\n',
		line: 3,
		says: ['"c"', 'f.yaml:17'],
	},
	{
		name: 'missing reference',
		text: 'kind: Guarantee\nname: g\ncustomer: nobody\ncount: 1\naccelerators: 1\n',
		line: 3,
		says: ['customer "nobody"'],
	},
	{
		name: 'selector without match',
		text: 'kind: Guarantee\nname: g\ncustomer: c\ncount: 1\naccelerators: 1\nworkerSelector:\n  matchLabels: {gpu: z}\n',
		line: 6,
		says: ['"gpu":"z"', 'matches no declared worker'],
	},
	{
		name: 'rule without match',
		text: 'kind: PlacementRule\nname: g\npartner: q\nworkSelector: {}\nworkerSelector:\n  matchExpressions: [{key: constructor, operator: Exists}]\n',
		line: 5,
		says: ['constructor', 'matches no declared worker'],
	},
	{
		name: 'guarantee that does not fit',
		text: 'kind: Guarantee\nname: g\ncustomer: c\ncount: 3\naccelerators: 8\n',
		line: 1,
		says: ['guarantee g does not fit'],
	},
	{
		name: 'shares above 1',
		text: 'kind: Pool\nname: x\nweights: {completionTime: 1, fragmentation: 0}\nshares:\n  - {partner: q, share: 0.6}\n  - {partner: s, share: 0.6}\n',
		line: 4,
		says: ['0.6', 'more than 1'],
	},
	{
		name: 'weight out of range',
		text: 'kind: Customer\nname: x\npartner: q\nweight: -2\nquota: {accelerators: 1}\n',
		line: 4,
		says: ['weight is -2'],
	},
	{
		name: 'label key out of range',
		text: 'kind: Customer\nname: x\npartner: q\nquota: {accelerators: 1}\nlabels:\n  "a b": c\n',
		line: 6,
		says: ['a b', 'label key'],
	},
	{
		name: 'label value out of range',
		text: `kind: Customer\nname: x\npartner: q\nquota: {accelerators: 1}\nlabels:\n  a: ${'x'.repeat(256)}\n`,
		line: 6,
		says: ['labels.a', 'xxx'],
	},
	{
		name: 'key __proto__',
		text: 'kind: Customer\nname: x\npartner: q\nquota: {accelerators: 1}\nlabels:\n  __proto__: c\n',
		line: 6,
		says: ['__proto__'],
	},
	{
		name: 'worker in two racks',
		text: `${RACK}${SIZE}workers:\n  - name: w9\n  - name: w1\n`,
		line: 8,
		says: ['worker "w1"', 'rack "r1"'],
	},
	{
		name: 'positions that collide',
		text: `${RACK}${SIZE}workers:\n  - {name: w8, position: 1}\n  - name: w9\n`,
		line: 8,
		says: ['"w9"', 'position 1'],
	},
	{
		name: 'alias that expands without bound',
		text: `kind: Customer\nname: x\na: &a [1, 1]\n${['b', 'c', 'd', 'e', 'f', 'g', 'h', 'i']
			.map((key, index) => `${key}: &${key} [${Array.from({length: 9}).fill(`*${'abcdefgh'[index]}`).join(', ')}]`)
			.join('\n')}\n`,
		line: 11,
		says: ['alias "*h"'],
	},
	{
		name: 'alias that contains itself',
		text: 'kind: Customer\nname: x\nlabels: &a\n  b: *a\n',
		line: 4,
		says: ['nested'],
	},
	{name: 'alias without anchor', text: 'kind: Customer\nname: x\npartner: *nowhere\n', line: 3, says: ['nowhere']},
	{
		name: "caller token of another partner's customer",
		text: `kind: Token\nname: x\nsha256: ${'a'.repeat(64)}\nrole: caller\npartner: other\ncustomer: c\n`,
		line: 6,
		says: ['customer "c" does not belong'],
	},
];

// Guards against an operator who cannot find the fault: each must name the file, the line and the value.
await t.test('loadTexts names file, line and value', async (t) => {
	const valid = loadTexts([{file: 'f.yaml', text: VALID}]);
	t.ok(valid.ok, JSON.stringify(valid));
	const offset = VALID.split('\n').length;
	for (const {name, text, line, says} of CASES) {
		const result = loadTexts([{file: 'f.yaml', text: `${VALID}---\n${text}`}]);
		const faults = result.ok ? [] : result.faults;
		const fault = faults.find((item) => says.every((part) => item.message.includes(part)));
		t.equal(fault?.file, 'f.yaml', `${name}: ${JSON.stringify(faults)}`);
		t.equal(fault?.line, line + offset, `${name}, line: ${JSON.stringify(faults)}`);
	}
});

// Guards against a pool on whose split the partners do not agree.
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

// Guards against a token that an operator wrote in clear by mistake and that an error then prints.
await t.test('a token in clear is not echoed', async (t) => {
	const secret = 'S3cretS3cretS3cretS3cret';
	const token = (lines: string) => `kind: Token\nname: x\nrole: operator\npartner: q\n${lines}\n`;
	for (const lines of [`sha256: ${secret}`, `token: ${secret}`, `sha256: [${secret}`]) {
		const result = loadTexts([{file: 'f.yaml', text: token(lines)}]);
		t.equal(result.ok, false, lines);
		t.notMatch(JSON.stringify(result), secret, lines);
	}
});
