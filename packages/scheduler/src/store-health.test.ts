import t from 'tap';
import {createStoreHealth, createSuspendClock} from './store-health.js';

// Guards against an instance that was suspended and still trusts its lease or its keys.
await t.test('time spent suspended counts, also when only the time of day shows it', async (t) => {
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
	t.equal(now(), 6150, 'a time of day that jumps back takes nothing away');
});

await t.test('the store counts as lost only after failures without an answer', async (t) => {
	let nowMs = 0;
	const health = createStoreHealth(() => nowMs);
	nowMs = 5000;
	t.notOk(health.isLost(), 'an idle instance has not lost it');
	health.failed();
	t.ok(health.isLost());
	health.answered(5000);
	t.notOk(health.isLost());
	nowMs = 5500;
	health.failed();
	t.notOk(health.isLost(), 'a single failure is no outage');
});

await t.test('staleness counts from the call that proved the copy', async (t) => {
	let nowMs = 0;
	const health = createStoreHealth(() => nowMs);
	t.equal(health.stalenessMs(), Number.POSITIVE_INFINITY);
	health.synced(0);
	nowMs = 1200;
	t.equal(health.stalenessMs(), 1200);
});
