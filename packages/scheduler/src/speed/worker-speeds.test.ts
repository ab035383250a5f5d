import t from 'tap';
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import {FACTOR_STEP} from './constants.js';
import {createWorkerSpeeds} from './worker-speeds.js';

const UNIT_DEVIATION = 0.25;

/** A normally distributed number, as the sum of twelve uniform ones. */
const normal = (generator: RandomGenerator): number => {
	let sum = -6;
	for (let index = 0; index < 12; index += 1) {
		sum += unsafeUniformIntDistribution(0, 2 ** 20, generator) / 2 ** 20;
	}

	return sum;
};

/** Factors learned from `runs` runs on each worker of a fleet with these true factors. */
const learn = (trueFactors: readonly number[], runs: number, seed: number): readonly number[] => {
	const generator = xoroshiro128plus(seed);
	const speeds = createWorkerSpeeds();
	for (let run = 0; run < runs; run += 1) {
		for (const [index, factor] of trueFactors.entries()) {
			const runMs = 2000 * factor * Math.exp(UNIT_DEVIATION * normal(generator));
			speeds.observe({workerId: `w${index}`, runMs, expectedMs: 2000, compared: 8});
		}
	}

	return trueFactors.map((_factor, index) => speeds.runFactorOf(`w${index}`));
};

const fleetOf = (factors: readonly number[]): readonly number[] =>
	Array.from({length: 200}, (_value, index) => factors[index % factors.length]!);

// Guards against urgent work on workers that are slower for good and were never found out, since they are not sick.
await t.test('slow workers are told from fast ones after three runs each', async (t) => {
	const factors = fleetOf([1.82, 0.83, 0.83, 0.83]);
	const learned = learn(factors, 3, 1);
	const slow = learned.filter((_learned, index) => factors[index] === 1.82);
	const fast = learned.filter((_learned, index) => factors[index] !== 1.82);
	const missed = slow.filter((factor) => factor <= 1).length;
	const wronged = fast.filter((factor) => factor > 1).length;
	t.ok(missed <= 1, `${missed} of ${slow.length} slow workers count as normal`);
	t.ok(wronged <= fast.length * 0.02, `${wronged} of ${fast.length} fast workers count as slow`);
});

// Guards against equal workers that are told apart by chance, so that units are no longer packed on the fullest of them.
await t.test('equal workers have the same factor', async (t) => {
	const learned = learn(fleetOf([1]), 8, 2);
	const off = learned.filter((factor) => factor !== 1).length;
	t.ok(off <= learned.length * 0.12, `${off} of ${learned.length}`);
	t.ok(learned.every((factor) => Math.abs(Math.log(factor)) < FACTOR_STEP * 1.5));
});

// Guards against one job with a heavy tail that makes its worker slow for the rest of the term.
await t.test('one outlier does not decide', async (t) => {
	const speeds = createWorkerSpeeds();
	for (let run = 0; run < 6; run += 1) {
		for (const workerId of ['w1', 'w2', 'w3']) {
			speeds.observe({workerId, runMs: 2000, expectedMs: 2000, compared: 8});
		}
	}

	speeds.observe({workerId: 'w1', runMs: 14_000, expectedMs: 2000, compared: 8});
	t.ok(speeds.runFactorOf('w1') < 1.3, `${speeds.runFactorOf('w1')}`);
});

// Guards against a change of leader that loses what was learned, or lets old figures replace newer ones.
await t.test('estimates of an earlier leader are taken over for workers without one', async (t) => {
	const earlier = createWorkerSpeeds();
	const speeds = createWorkerSpeeds();
	for (let run = 0; run < 6; run += 1) {
		earlier.observe({workerId: 'slow', runMs: 3600, expectedMs: 2000, compared: 8});
		earlier.observe({workerId: 'other', runMs: 1800, expectedMs: 2000, compared: 8});
		speeds.observe({workerId: 'other', runMs: 2000, expectedMs: 2000, compared: 8});
	}

	const known = speeds.estimates().get('other');
	speeds.restore(earlier.estimates());
	t.ok(speeds.runFactorOf('slow') > 1.2);
	t.same(speeds.estimates().get('other'), known);
	t.equal(speeds.runFactorOf('unknown'), 1);
});
