import fc from 'fast-check';
import t from 'tap';
import {createWorkerClock} from './worker-clock.js';

// Guards against work that starts elsewhere while its lease is still valid on a worker with a slow clock.
await t.test('the expiry is never before the end of a lease on a clock that is 2% slow', async (t) => {
	fc.assert(
		fc.property(
			fc.integer({min: 0, max: 10_000}),
			fc.integer({min: 0, max: 800}),
			fc.integer({min: 0, max: 800}),
			fc.double({min: 0.98, max: 1.02, noNaN: true}),
			(leaseMs, outMs, backMs, rate) => {
				const clock = createWorkerClock(0);
				// The worker reads its clock `outMs` after the call was sent.
				const workerAt = (atMs: number) => 40_000 + (atMs - outMs) * rate;
				clock.observe(workerAt(outMs), 0, outMs + backMs);
				const untilMs = workerAt(outMs) + leaseMs;
				clock.recordLease(untilMs);
				const endsAtMs = outMs + (untilMs - workerAt(outMs)) / rate;
				return clock.expiryMs() >= endsAtMs;
			},
		),
		{seed: 7, numRuns: 500},
	);
	t.pass('no counterexample');
});

await t.test('before the first response the leases of earlier leaders determine the expiry', async (t) => {
	const clock = createWorkerClock(12_345);
	t.equal(clock.expiryMs(), 12_345);
	t.equal(clock.leaseUntil(0, 1000), undefined);
});

// Guards against work of a draining worker that starts elsewhere while the longer lease of an earlier leader is valid.
await t.test('a short lease does not hide a longer one of an earlier leader', async (t) => {
	const clock = createWorkerClock(10_000);
	clock.observe(50_000, 0, 10);
	clock.recordLease(53_500);
	t.equal(clock.expiryMs(), 10_000);
	clock.recordLease(65_000);
	t.ok(clock.expiryMs() > 15_000);
});
