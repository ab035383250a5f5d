import {Buffer} from 'node:buffer';
import t from 'tap';
import {estimateJsonCost} from './json-cost.js';
import {createLimits} from './limits.js';

const MB = 1024 * 1024;
const CALM = {usedBytes: 82 * MB, usedHeapBytes: 30 * MB, heapLimitBytes: 165 * MB};

// Guards against limits that are too large for a small machine, or that ordinary callers meet on any machine.
await t.test('limits follow from the memory and the descriptors of the machine', async (t) => {
	for (const [memoryMb, maxFiles] of [
		[210, 4100],
		[350, 4100],
		[602, 8192],
	] as const) {
		const {budgetBytes, maxConnections} = createLimits({...CALM, memoryMb, maxFiles});
		t.ok(budgetBytes >= 16 * MB, `${memoryMb} MB: room for 60 bodies of 262,144 bytes`);
		t.ok(CALM.usedBytes + budgetBytes + maxConnections * 24 * 1024 < memoryMb * MB, `${memoryMb} MB: below the memory`);
		t.ok(maxConnections >= 1000 && maxConnections < maxFiles / 2, `${memoryMb} MB: descriptors are left`);
	}

	t.ok(createLimits({...CALM, memoryMb: 90, maxFiles: 100}).maxConnections > 0, 'the smallest limits still serve');
});

// Guards against a limit that is taken although it cannot be kept.
await t.test('a limit that is not allowed is an error that names it', async (t) => {
	t.throws(() => createLimits(CALM, {budgetBytes: 1000}), /budgetBytes is 1000; it must be at least/v);
	t.throws(() => createLimits(CALM, {maxConnections: 0}), /maxConnections is 0; it must be above 0/v);
	t.throws(() => createLimits(CALM, {budgetBytes: 4 * MB, reserveBytes: 4 * MB}), /must be below budgetBytes/v);
	t.throws(() => createLimits(CALM, {customerShare: 2}), /must be at most 1/v);
});

// Guards against small texts that take many times their size once parsed, and against legal jobs that count as such.
await t.test('the cost of a text follows from its objects, arrays and values', async (t) => {
	const cost = (text: string) => estimateJsonCost(Buffer.from(text));
	t.equal(cost('{"steps":[{"after":[0]}]}').depth, 4);
	t.equal(cost(String.raw`{"spec":"[[[[{{{{,,,\"[[["}`).depth, 1, 'what is in a string does not count');
	t.ok(cost(`[${'{},'.repeat(80_000)}{}]`).bytes > 60 * MB);
	t.ok(cost('['.repeat(100_000)).depth === 100_000);
	const step = '{"count":20,"cpu":2000,"memory":1024,"estimateMs":7000,"after":[0],"checkpointing":true}';
	const largest = cost(`{"steps":[${Array.from({length: 2900}, () => step).join(',')}]}`).bytes;
	t.ok(largest < createLimits({...CALM, memoryMb: 210}).budgetBytes / 2, 'a job of 262,144 bytes is served');
	t.ok(cost(`{"spec":"${'x'.repeat(4000)}","steps":[${step}]}`).bytes < 32_768, 'an ordinary job');
});
