import fc from 'fast-check';
import t from 'tap';
import {initialThrottle, nextThrottle, type ThrottleState} from './throttle.js';

const SUSPEND_AFTER_MS = 1000;

/** Time for which units may be disturbed on end. */
const MAX_OVER_TARGET_MS = 4000;

const REPORT_MS = 500;

type Outcome = Readonly<{longestOverMs: number; last: ThrottleState}>;

/** Plays a worker whose response times grow with the pace; `disturbance` is their load at full pace, by time. */
const simulate = (interferenceAt: (nowMs: number) => number, lengthMs: number, base = 0.4): Outcome => {
	let throttle = initialThrottle(0);
	let overMs = 0;
	let longestOverMs = 0;
	for (let nowMs = 0; nowMs < lengthMs; nowMs += REPORT_MS) {
		const latencyRatio = base + (interferenceAt(nowMs) * throttle.percent) / 100;
		overMs = latencyRatio > 1 ? overMs + REPORT_MS : 0;
		longestOverMs = Math.max(longestOverMs, overMs);
		throttle = nextThrottle(throttle, {latencyRatio, nowMs, suspendAfterMs: SUSPEND_AFTER_MS});
	}

	return {longestOverMs, last: throttle};
};

// Guards against response times that stay over their target, whatever the images do to each other.
await t.test('units are over their target for less than the bound, however strong the disturbance is', async (t) => {
	fc.assert(
		fc.property(fc.array(fc.double({min: 0, max: 20, noNaN: true}), {minLength: 1, maxLength: 10}), (strengths) => {
			const {longestOverMs} = simulate((nowMs) => strengths[Math.floor(nowMs / 3000) % strengths.length]!, 60_000);
			return longestOverMs < MAX_OVER_TARGET_MS;
		}),
		{seed: 7, numRuns: 300},
	);
	t.pass('no counterexample');
});

await t.test('units that disturb nobody come to full speed', async (t) => {
	t.equal(simulate(() => 0.1, 20_000).last.percent, 100);
});

// Guards against a pace that stays down after a short disturbance, which costs the slowed units their time.
await t.test('the pace rises again after the disturbance', async (t) => {
	t.equal(simulate((nowMs) => (nowMs < 5000 ? 10 : 0.1), 30_000).last.percent, 100);
});

await t.test('units over their target by their own load find the others standing still', async (t) => {
	t.equal(simulate(() => 0.1, 10_000, 1.5).last.percent, 0);
});
