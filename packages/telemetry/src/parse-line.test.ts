import fc from 'fast-check';
import t from 'tap';
import {formatRecord, parseLine} from './index.js';

// Guards against a value that is parsed differently from what was written, or that runs into the next field.
await t.test('a written line parses to the same values', async (t) => {
	fc.assert(
		fc.property(fc.string({unit: 'grapheme'}), fc.string(), (first, second) => {
			const line = formatRecord({time: new Date(5), level: 30, msg: 'refused', first, second});
			const parsed = parseLine(line);
			return parsed?.timeMs === 5 && parsed.fields.first === first && parsed.fields.second === second;
		}),
		{seed: 3, numRuns: 500},
	);
	t.pass('no counterexample');
});

await t.test('a prefix is kept, and other text is not parsed as a line', async (t) => {
	const line = formatRecord({time: new Date(0), level: 30, msg: 'started', port: 80});
	t.match(parseLine(`  12.5 edge-1 ${line}`), {prefix: '12.5 edge-1', event: 'started', fields: {port: '80'}});
	t.equal(parseLine('day own/srv score'), undefined);
	t.equal(parseLine('time=yesterday event=started'), undefined);
});
