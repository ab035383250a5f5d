import t from 'tap';
import {createStoreHealth, createSuspendClock} from './store-health.js';

// Guards against an instance that trusts its lease or its API keys after a suspension.
await t.test('time spent suspended counts, even if only the wall clock shows it', async (t) => {
	let monotonicMs = 0;
	let wallClockMs = 1000;
	const now = createSuspendClock(
		() => monotonicMs,
		() => wallClockMs,
	);
	monotonicMs += 100;
	wallClockMs += 100;
	t.equal(now(), 100);
	wallClockMs += 6000;
	t.equal(now(), 6100);
	wallClockMs -= 6000;
	monotonicMs += 50;
	t.equal(now(), 6150, 'a wall clock that jumps back does not reduce the total');
});

await t.test('contact with the store counts as lost only after failures without a response', async (t) => {
	let nowMs = 0;
	const health = createStoreHealth(() => nowMs);
	nowMs = 5000;
	t.notOk(health.isLost(), 'an idle instance has not lost contact');
	health.recordFailure();
	t.ok(health.isLost());
	health.recordResponse(5000);
	t.notOk(health.isLost());
	nowMs = 5500;
	health.recordFailure();
	t.notOk(health.isLost(), 'a single failure is not an outage');
});

await t.test('staleness counts from the call that proved the configuration current', async (t) => {
	let nowMs = 0;
	const health = createStoreHealth(() => nowMs);
	t.equal(health.stalenessMs(), Number.POSITIVE_INFINITY);
	health.recordSync(0);
	nowMs = 1200;
	t.equal(health.stalenessMs(), 1200);
});
