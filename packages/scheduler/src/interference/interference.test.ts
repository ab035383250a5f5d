import t from 'tap';
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import {EFFECT_HALF_LIFE_MS, MAX_PAIRS} from './constants.js';
import {createInterference, type Interference} from './interference.js';

const RUN_DEVIATION = 0.25;

/** A normally distributed number, as the sum of twelve uniform ones. */
const normal = (generator: RandomGenerator): number => {
	let sum = -6;
	for (let index = 0; index < 12; index += 1) {
		sum += unsafeUniformIntDistribution(0, 2 ** 20, generator) / 2 ** 20;
	}

	return sum;
};

type Load = Readonly<{runs: number; seed: number; slowdownOf: (neighbours: readonly string[]) => number}>;

/** Runs of kind `a` beside one or two of the kinds `b`, `c` and `d`, one each 100 ms. */
const learn = ({runs, seed, slowdownOf}: Load): Interference => {
	const generator = xoroshiro128plus(seed);
	const interference = createInterference();
	const kinds = ['b', 'c', 'd'];
	for (let run = 0; run < runs; run += 1) {
		const first = unsafeUniformIntDistribution(0, 2, generator);
		const second = unsafeUniformIntDistribution(0, 2, generator);
		const neighbours = [kinds[first]!, kinds[second]!];
		const slowdown = slowdownOf(neighbours) * Math.exp(RUN_DEVIATION * normal(generator));
		interference.observe({kind: 'a', neighbours, slowdown, nowMs: run * 100});
	}

	return interference;
};

const effectOn = (interference: Interference, neighbour: string, nowMs: number): number =>
	interference.harmfulEffects(nowMs).get('a')?.get(neighbour) ?? 0;

const SEEDS = Array.from({length: 100}, (_value, index) => index + 1);

// Guards against work that is kept apart by chance, and against a harmful neighbour that is missed or confused with another
// one that often runs beside the same work. Error rates over 100 seeds of 60 runs.
await t.test('a neighbour that slows work down by half is told from the others and from chance', async (t) => {
	let missed = 0;
	let confused = 0;
	let invented = 0;
	for (const seed of SEEDS) {
		const harmed = learn({runs: 60, seed, slowdownOf: (kinds) => (kinds.includes('b') ? 1.5 : 1)});
		missed += effectOn(harmed, 'b', 6000) === 0 ? 1 : 0;
		confused += effectOn(harmed, 'c', 6000) + effectOn(harmed, 'd', 6000) > 0 ? 1 : 0;
		invented += learn({runs: 60, seed, slowdownOf: () => 1}).harmfulEffects(6000).size > 0 ? 1 : 0;
	}

	t.comment(`missed ${missed}, confused ${confused}, invented ${invented} of ${SEEDS.length}`);
	t.ok(missed <= 5, `missed in ${missed}`);
	t.ok(confused <= 10, `confused in ${confused}`);
	t.ok(invented <= 10, `invented in ${invented}`);
});

// Guards against work that is kept apart for good by an estimate that holds no longer.
await t.test('a stale estimate is forgotten', async (t) => {
	const interference = learn({runs: 60, seed: 1, slowdownOf: (kinds) => (kinds.includes('b') ? 1.5 : 1)});
	t.ok(effectOn(interference, 'b', 6000) > 0.2);
	t.equal(effectOn(interference, 'b', 6000 + 2 * EFFECT_HALF_LIFE_MS), 0);
});

// Guards against memory that grows with the number of kinds, which callers choose.
await t.test('the number of pairs is bounded', async (t) => {
	const interference = createInterference();
	for (let kind = 0; kind < 3 * MAX_PAIRS; kind += 1) {
		interference.observe({kind: `k${kind}`, neighbours: ['n'], slowdown: 1, nowMs: kind});
	}

	t.equal(interference.countPairs(0).known, MAX_PAIRS);
	const crowd = Array.from({length: 50}, (_value, index) => `n${index}`);
	interference.observe({kind: 'beside many', neighbours: crowd, slowdown: 2, nowMs: 0});
	t.equal(interference.runsOf('beside many', 'n0'), 0, 'a run beside too many kinds shows nothing');
});

// Guards against one run that hangs, or a figure that is no number, which would mark all kinds beside it.
await t.test('one run marks nothing, whatever it shows', async (t) => {
	const interference = createInterference();
	for (const slowdown of [50, Number.POSITIVE_INFINITY, Number.NaN, -1, 0]) {
		interference.observe({kind: 'a', neighbours: ['b'], slowdown, nowMs: 0});
	}

	t.equal(interference.harmfulEffects(0).size, 0);
	t.equal(interference.runsOf('a', 'b'), 1);
	interference.observe({kind: 'a', neighbours: ['b'], slowdown: 1, nowMs: 0});
	t.equal(interference.harmfulEffects(0).size, 0);
});
