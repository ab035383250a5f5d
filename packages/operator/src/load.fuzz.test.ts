import {fileURLToPath} from 'node:url';
import {ServiceError, type AccessToken} from '@bergamotgauge/model';
import fc from 'fast-check';
import t from 'tap';
import {stringify} from 'yaml';
import {loadDirectory, loadTexts, parseDeclarations, prepareDeclarations} from './index.js';

const SEED = 20_261_203;
const RUNS = {seed: SEED, numRuns: 400};
const DOCUMENT = `kind: Rack
name: r1
pool: &p p
availabilityZone: a
workerDefaults: {cores: 8, memoryGigabytes: 8, accelerators: 8, labels: {gpu: a}}
workers:
  - {name: w1, position: 0}
  - name: w2
---
kind: Pool
name: *p
weights: {completionTime: 1, fragmentation: 0}
shares: [{partner: q, share: 1}]
---
kind: Guarantee
name: g
customer: c
count: 1
accelerators: 8
`;
const KEYS = ['kind', 'name', 'partner', 'workers', 'labels', 'shares', 'quota', 'workerSelector', 'matchExpressions'];

const checkFaultLocations = (text: string): void => {
	const result = loadTexts([{file: 'f.yaml', text}]);
	if (!result.ok && !result.faults.every(({file, line, message}) => file && line >= 1 && message)) {
		throw new Error(`a fault without file, line or message: ${JSON.stringify(result.faults)}`);
	}
};

const edits = fc.array(fc.tuple(fc.nat(), fc.nat(6), fc.string({unit: 'binary', maxLength: 6})), {maxLength: 4});
const yamlEdits = fc.constantFrom('*p', '&p ', '!!map ', '[', '}', '<<: *p\n', '---\n', '? ', '|', '%TAG', '\t', '\0');
const keys = fc.oneof(fc.constantFrom(...KEYS, '__proto__', 'constructor'), fc.string());

const withEdits = (changes: ReadonlyArray<readonly [number, number, string]>): string => {
	let text = DOCUMENT;
	for (const [at, length, inserted] of changes) {
		const start = at % text.length;
		text = text.slice(0, start) + inserted + text.slice(start + length);
	}

	return text;
};

// Guards against declaration files that crash the loader, or whose faults are reported without file, line or message.
await t.test('any text is accepted or refused with located faults', async (t) => {
	fc.assert(fc.property(fc.string({unit: 'binary'}), checkFaultLocations), RUNS);
	fc.assert(
		fc.property(edits, (changes) => {
			checkFaultLocations(withEdits(changes));
		}),
		RUNS,
	);
	fc.assert(
		fc.property(fc.nat(), yamlEdits, (at, inserted) => {
			checkFaultLocations(withEdits([[at, 0, inserted]]));
		}),
		RUNS,
	);
	fc.assert(
		fc.property(
			fc.constantFrom('Customer', 'Rack', 'Pool', 'Token'),
			fc.dictionary(keys, fc.jsonValue()),
			(kind, rest) => {
				checkFaultLocations(stringify({...rest, kind}));
			},
		),
		RUNS,
	);
	t.pass('no text crashed the loader');
});

// Guards against declarations in a request that make the instance fail with an internal error, where it should refuse the request.
await t.test('any request body is accepted or refused with a client error', async (t) => {
	const loaded = await loadDirectory(fileURLToPath(new URL('../../../examples/shared', import.meta.url)));
	t.ok(loaded.ok);
	const declarations = loaded.ok ? loaded.declarations : undefined;
	const operator: AccessToken = {name: 'op', sha256: 'a'.repeat(64), role: 'operator', partner: 'quebec'};
	const check = (body: unknown) => {
		try {
			prepareDeclarations(undefined, operator, parseDeclarations(body));
		} catch (error) {
			if (!(error instanceof ServiceError) || error.status >= 500 || error.verdict !== 'not-run') {
				throw error;
			}
		}
	};

	fc.assert(fc.property(fc.jsonValue(), check), RUNS);
	const collections = fc.constantFrom(...Object.keys(declarations ?? {}));
	fc.assert(
		fc.property(collections, fc.dictionary(keys, fc.jsonValue()), fc.boolean(), (collection, change, isAdded) => {
			const items = declarations![collection as 'racks'];
			const item = {...items[0], ...change};
			check({...declarations, tokens: [operator], [collection]: isAdded ? [...items, item] : [item]});
		}),
		RUNS,
	);
	t.pass('no body crashed the check');
});
