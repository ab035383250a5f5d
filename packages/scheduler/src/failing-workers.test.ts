import t from 'tap';
import {
	failureShare,
	NO_OUTCOMES,
	suspicionLimit,
	unprovenShare,
	withFailure,
	withSuccess,
	type Outcomes,
} from './failing-workers.js';

const LIMIT = suspicionLimit([]);

const outcomesOf = (pattern: string): Outcomes => {
	let outcomes = NO_OUTCOMES;
	for (const [index, letter] of [...pattern].entries()) {
		outcomes = letter === 'f' ? withFailure(outcomes, index * 500) : withSuccess(outcomes, index * 500);
	}

	return outcomes;
};

const isSuspect = (pattern: string, nowMs = pattern.length * 500): boolean =>
	failureShare(outcomesOf(pattern), nowMs) > LIMIT;

// Guards against jobs that use up their attempts on failing workers, each of which needs several failures to be noticed.
await t.test('one failure suffices on a worker without successes', async (t) => {
	t.ok(isSuspect('f'));
	t.notOk(isSuspect(''));
});

// Guards against a worker that fails part of its runs and is trusted again after each success.
await t.test('a success does not clear a worker that keeps failing', async (t) => {
	t.ok(isSuspect('fsfsf'));
	t.ok(isSuspect('sfsfsfs'));
});

// Guards against a busy, sound worker that loses its work because of one job that fails by its own fault.
await t.test('one failure among many successes is no suspicion', async (t) => {
	t.notOk(isSuspect('ssssfss'));
});

await t.test('a worker that has recovered is tried again', async (t) => {
	t.ok(isSuspect('f', 2000));
	t.notOk(isSuspect('f', 15_000));
	t.ok(isSuspect('fff', 15_000), 'later after more failures');
});

// Guards against a pool without usable workers, in which guarantees cannot be met, while many jobs fail by their own fault.
await t.test('at most a part of the workers is suspected', async (t) => {
	const shares = Array.from({length: 10}, () => failureShare(outcomesOf('ff'), 1000));
	const limit = suspicionLimit(shares);
	t.equal(shares.filter((share) => share > limit).length, 0, 'workers that are all alike are not suspected');
	const mixed = [...shares.slice(0, 3), ...Array.from({length: 7}, () => failureShare(outcomesOf('ss'), 1000))];
	t.equal(mixed.filter((share) => share > suspicionLimit(mixed)).length, 3);
});

await t.test('a recent success proves a worker', async (t) => {
	t.equal(unprovenShare(outcomesOf('s'), 0), 0);
	t.equal(unprovenShare(NO_OUTCOMES, 100), 1);
});
