import t from 'tap';
import {CROWDED_SMALL_PIECES, SMALL_PIECES, SMALL_PIECES_MEMORY_MS} from './constants.js';
import {createSmallPieces} from './small-pieces.js';

const createFixture = () => {
	let nowMs = 0;
	const smallPieces = createSmallPieces<string>({max: 2, stallMs: 1000, now: () => nowMs});
	return {
		...smallPieces,
		wait(ms: number) {
			nowMs += ms;
		},
		/** Fills both places, so that the next body is refused. */
		crowd() {
			smallPieces.mayGoOn('a', SMALL_PIECES);
			smallPieces.mayGoOn('b', SMALL_PIECES);
			return smallPieces.mayGoOn('c', SMALL_PIECES);
		},
	};
};

// Guards against bodies of which each takes milliseconds of processor time before it is refused.
await t.test('a body counts after fewer pieces while others are refused', async (t) => {
	const {mayGoOn, crowd, wait, isCrowded} = createFixture();
	t.ok(mayGoOn('d', CROWDED_SMALL_PIECES), 'in calm each may go on');
	t.notOk(crowd(), 'no place is left');
	t.ok(isCrowded());
	t.notOk(mayGoOn('d', CROWDED_SMALL_PIECES));
	t.ok(mayGoOn('a', CROWDED_SMALL_PIECES), 'one that has a place goes on');
	wait(SMALL_PIECES_MEMORY_MS);
	t.ok(mayGoOn('d', CROWDED_SMALL_PIECES));
});

// Guards against clients that stop short of the end of their body and keep others out for as long as they stay.
await t.test('a body without further pieces leaves its place to another one', async (t) => {
	const {mayGoOn, crowd, wait, remove} = createFixture();
	t.notOk(crowd());
	wait(1000);
	t.ok(mayGoOn('b', SMALL_PIECES));
	t.ok(mayGoOn('c', SMALL_PIECES), 'in place of the first one');
	t.notOk(mayGoOn('a', SMALL_PIECES * 2));
	remove('b');
	t.ok(mayGoOn('a', SMALL_PIECES * 2));
});
