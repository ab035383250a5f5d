import t from 'tap';
import {MAX_READS_PER_TURN, MIN_READS_PER_TURN, READ_TURN_MS} from './constants.js';
import {createReadTurns} from './read-turns.js';

/** Turns with a clock; `next` runs one turn that takes `ms`. */
const createFixture = () => {
	let nowMs = 0;
	let callback: (() => void) | undefined;
	const read: string[] = [];
	const held: string[] = [];
	const turns = createReadTurns({
		now: () => nowMs,
		defer(deferred) {
			callback = deferred;
		},
	});
	return {
		turns,
		read,
		held,
		isDeferred: () => callback !== undefined,
		request(name: string, source = 'crowd') {
			turns.request(
				source,
				() => {
					read.push(name);
				},
				() => {
					held.push(name);
				},
			);
		},
		/** Names that are read in the turn. */
		next(ms = 0): readonly string[] {
			const before = read.length;
			const deferred = callback;
			callback = undefined;
			nowMs += ms;
			deferred?.();
			return read.slice(before);
		},
	};
};

// Guards against an instance that parses all that a crowd has sent before it does anything else.
await t.test('few connections are read in one turn', async (t) => {
	const {turns, read, held, request, next, isDeferred} = createFixture();
	for (let index = 0; index < MAX_READS_PER_TURN * 3; index += 1) {
		request(String(index));
	}

	t.equal(read.length, MAX_READS_PER_TURN, 'the first ones are read at once');
	t.equal(held.length, MAX_READS_PER_TURN * 2, 'the others wait');
	t.equal(next().length, MAX_READS_PER_TURN);
	t.equal(next().length, MAX_READS_PER_TURN);
	t.equal(turns.count(), 0);
	next();
	t.notOk(isDeferred(), 'no turn is asked for when nothing waits');
});

// Guards against turns that take hundreds of milliseconds, since each read is costly.
await t.test('while turns are long, fewer connections are read in one', async (t) => {
	const {request, next} = createFixture();
	for (let index = 0; index < 1000; index += 1) {
		request(String(index));
	}

	for (let turn = 0; turn < MAX_READS_PER_TURN; turn += 1) {
		next(READ_TURN_MS * 2);
	}

	t.equal(next(READ_TURN_MS * 2).length, MIN_READS_PER_TURN);
	t.equal(next(0).length, MIN_READS_PER_TURN * 2, 'and more again when they are short');
});

// Guards against a caller that waits behind a crowd which sends from another address.
await t.test('sources take turns', async (t) => {
	const {request, next} = createFixture();
	for (let index = 0; index < 200; index += 1) {
		request(`crowd-${index}`);
	}

	request('caller', 'elsewhere');
	t.ok(next().includes('caller'));
});

await t.test('connections of one source are read in their order', async (t) => {
	const {turns, read, next} = createFixture();
	for (const name of ['a', 'b', 'c']) {
		turns.requestLater('crowd', () => {
			read.push(name);
		});
	}

	t.strictSame(read, [], 'none in this turn');
	t.strictSame(next(), ['a', 'b', 'c']);
});
