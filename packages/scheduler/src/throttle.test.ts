import fc from 'fast-check';
import t from 'tap';
import {initialThrottle, nextThrottle, type ThrottleState} from './throttle.js';

const SUSPEND_AFTER_MS = 1000;

/** Time for which latency-sensitive units may continuously be over their target. */
const MAX_OVER_TARGET_MS = 4000;

const REPORT_MS = 500;

type Outcome = Readonly<{longestOverMs: number; last: ThrottleState}>;

/** Simulates a worker whose response times grow with the CPU share of its best-effort units; `interferenceAt` is the increase of the latency ratio at full share, by time. */
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

// Guards against response times that stay over their target, however strongly the workloads interfere.
await t.test('units are over their target for less than the limit, however strong the interference is', async (t) => {
	fc.assert(
		fc.property(fc.array(fc.double({min: 0, max: 20, noNaN: true}), {minLength: 1, maxLength: 10}), (strengths) => {
			const {longestOverMs} = simulate((nowMs) => strengths[Math.floor(nowMs / 3000) % strengths.length]!, 60_000);
			return longestOverMs < MAX_OVER_TARGET_MS;
		}),
		{seed: 7, numRuns: 300},
	);
	t.pass('no counterexample');
});

await t.test('units that do not interfere reach the full CPU share', async (t) => {
	t.equal(simulate(() => 0.1, 20_000).last.percent, 100);
});

// Guards against best-effort units that stay throttled after short interference.
await t.test('the CPU share is raised again after the interference', async (t) => {
	t.equal(simulate((nowMs) => (nowMs < 5000 ? 10 : 0.1), 30_000).last.percent, 100);
});

await t.test('best-effort units are suspended when units are over their target by their own load', async (t) => {
	t.equal(simulate(() => 0.1, 10_000, 1.5).last.percent, 0);
});
