import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import t from 'tap';
import {createBodyBudget} from './body-budget.js';
import {createBodyBuffers, type BodyBuffers} from './body-buffers.js';
import {readBody} from './body.js';

const SIZE = 40_000;
const BUDGET_BYTES = 1_000_000;

/** A request whose body the test writes, and its reading. */
const startReading = (buffers: BodyBuffers, headers: Readonly<Record<string, string>> = {}) => {
	const limits = {
		budgetBytes: BUDGET_BYTES,
		reserveBytes: 1000,
		customerShare: 0.5,
		sourceShare: 0.7,
		stallMs: 100,
		slowGraceMs: 500,
		minBodyRate: 1,
	};
	const holding = createBodyBudget({limits, now: () => 0}).open({customer: 'a', source: 'a'}, () => {});
	const request = Object.assign(new PassThrough(), {headers}) as unknown as IncomingMessage & PassThrough;
	const reading = readBody(request, {
		maxBytes: SIZE,
		buffers,
		holding,
		onPiece() {
			// The pieces come from one stream.
		},
		maySendSmallPieces: () => true,
		onGivenUp() {
			// No connection has to be closed.
		},
	});
	return {request, reading};
};

const memoryOf = (buffer: Buffer): ArrayBufferLike => buffer.buffer;

// Guards against a crowd of bodies that are read and refused one after the other, each in memory of its own: the process
// then exceeded the memory of its machine.
await t.test('memory that was given back is used again', async (t) => {
	const buffers = createBodyBuffers(SIZE * 2);
	const first = buffers.take(SIZE);
	buffers.giveBack(first.subarray(0, 10));
	const second = buffers.take(SIZE - 1);
	t.equal(second.length, SIZE - 1, 'of the size that was asked for');
	t.equal(memoryOf(second), memoryOf(first));
	t.not(memoryOf(buffers.take(SIZE)), memoryOf(first), 'not while it is in use');
});

// Guards against spare memory that grows with the crowd, and against a small body that takes far more than it is counted for.
await t.test('spare memory is bounded', async (t) => {
	const buffers = createBodyBuffers(SIZE);
	const [first, second] = [buffers.take(SIZE), buffers.take(SIZE)];
	buffers.giveBack(first);
	buffers.giveBack(second);
	t.not(memoryOf(buffers.take(SIZE / 2 - 1)), memoryOf(first), 'too large for this body');
	t.equal(memoryOf(buffers.take(SIZE)), memoryOf(first));
	t.not(memoryOf(buffers.take(SIZE)), memoryOf(second), 'beyond the bound');
});

// Guards against a body that changes while it is parsed, since its memory was given to another request.
await t.test('a body that was read keeps its memory when its request is given up later', async (t) => {
	const buffers = createBodyBuffers(SIZE * 4);
	const {request, reading} = startReading(buffers, {'content-length': String(SIZE)});
	request.end(Buffer.alloc(SIZE, 'a'));
	const body = await reading.body;
	reading.giveUp('memory');
	request.destroy();
	buffers.take(SIZE).fill('b');
	t.equal(body.toString(), 'a'.repeat(SIZE));
});

// Guards against memory that is given back twice, and then holds the bodies of two requests.
await t.test('the memory of a body that is given up twice holds one further body', async (t) => {
	const buffers = createBodyBuffers(SIZE * 4);
	const {request, reading} = startReading(buffers, {'content-length': String(SIZE)});
	request.write(Buffer.alloc(SIZE / 2));
	reading.giveUp('too-slow');
	reading.giveUp('memory');
	request.destroy();
	await t.rejects(reading.body, {code: 'deadline-exceeded'});
	t.not(memoryOf(buffers.take(SIZE)), memoryOf(buffers.take(SIZE)));
});

// Guards against a body of unknown length that loses bytes when its buffer grows into memory of an earlier body.
await t.test('a body that grows keeps its bytes', async (t) => {
	const buffers = createBodyBuffers(SIZE * 4);
	for (const size of [SIZE, 30_000, 20_000]) {
		buffers.giveBack(buffers.take(size).fill('x'));
	}

	const text = Array.from({length: SIZE / 8}, (_, index) => String(index).padStart(8)).join('');
	const {request, reading} = startReading(buffers);
	for (let start = 0; start < SIZE; start += 3000) {
		request.write(text.slice(start, start + 3000));
	}

	request.end();
	const body = await reading.body;
	t.equal(body.toString(), text);
});
