import fc from 'fast-check';
import t from 'tap';
import {firstPace, nextPace, type Pace} from './pace.js';

const PATIENCE_MS = 1000;

/** Time for which units may be disturbed on end. */
const HARM_MS = 4000;

const REPORT_MS = 500;

type Outcome = Readonly<{longestOverMs: number; last: Pace}>;

/** Plays a worker whose response times grow with the pace; `disturbance` is their load at full pace, by time. */
const play = (disturbance: (nowMs: number) => number, lengthMs: number, base = 0.4): Outcome => {
	let pace = firstPace(0);
	let overMs = 0;
	let longestOverMs = 0;
	for (let nowMs = 0; nowMs < lengthMs; nowMs += REPORT_MS) {
		const load = base + (disturbance(nowMs) * pace.percent) / 100;
		overMs = load > 1 ? overMs + REPORT_MS : 0;
		longestOverMs = Math.max(longestOverMs, overMs);
		pace = nextPace(pace, {load, nowMs, patienceMs: PATIENCE_MS});
	}

	return {longestOverMs, last: pace};
};

// Guards against response times that stay over their target, whatever the images do to each other.
await t.test('units are over their target for less than the bound, however strong the disturbance is', async (t) => {
	fc.assert(
		fc.property(fc.array(fc.double({min: 0, max: 20, noNaN: true}), {minLength: 1, maxLength: 10}), (strengths) => {
			const {longestOverMs} = play((nowMs) => strengths[Math.floor(nowMs / 3000) % strengths.length]!, 60_000);
			return longestOverMs < HARM_MS;
		}),
		{seed: 7, numRuns: 300},
	);
	t.pass('no counterexample');
});

await t.test('units that disturb nobody come to full speed', async (t) => {
	t.equal(play(() => 0.1, 20_000).last.percent, 100);
});

// Guards against a pace that stays down after a short disturbance, which costs the slowed units their time.
await t.test('the pace rises again after the disturbance', async (t) => {
	t.equal(play((nowMs) => (nowMs < 5000 ? 10 : 0.1), 30_000).last.percent, 100);
});

await t.test('units over their target by their own load find the others standing still', async (t) => {
	t.equal(play(() => 0.1, 10_000, 1.5).last.percent, 0);
});
