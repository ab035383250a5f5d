import t from 'tap';
import {createStoreHealth, createSuspendClock} from './store-health.js';

// Guards against an instance that trusts its lease or its API keys after a suspension.
await t.test('time spent suspended counts, even if only the wall clock shows it', async (t) => {
	let monotonicMs = 0;
	let wallClockMs = 1000;
	const now = createSuspendClock({
		monotonic: () => monotonicMs,
		wallClock: () => wallClockMs,
	});
	monotonicMs += 100;
	wallClockMs += 100;
	t.equal(now(), 100);
	wallClockMs += 6000;
	t.equal(now(), 6100);
	wallClockMs -= 6000;
	monotonicMs += 50;
	t.equal(now(), 6150, 'a wall clock that jumps back does not reduce the total');
});

// Guards against a clock that runs fast while its instance is busy: a leader then took leases for expired before they were.
await t.test('readings within a millisecond do not advance the clock faster than time', async (t) => {
	let elapsedMs = 0;
	const now = createSuspendClock({
		monotonic: () => elapsedMs,
		// The wall clock has a resolution of one millisecond.
		wallClock: () => Math.floor(1000 + elapsedMs),
	});
	for (let reading = 1; reading <= 40_000; reading += 1) {
		elapsedMs = reading / 4;
		now();
	}

	t.ok(Math.abs(now() - 10_000) < 1, `the clock shows ${now()} ms after 10 s`);
});

// Guards against a wall clock that is slewed, or read late, being taken for a suspension.
await t.test('small differences between the clocks do not count as suspensions', async (t) => {
	let elapsedMs = 0;
	let aheadMs = 0;
	const now = createSuspendClock({
		monotonic: () => elapsedMs,
		wallClock: () => elapsedMs + aheadMs,
	});
	for (let reading = 1; reading <= 1000; reading += 1) {
		elapsedMs += 10;
		aheadMs = reading % 2 === 0 ? 0 : 60;
		now();
	}

	t.equal(now(), 10_000);
});

// Guards against many short suspensions that add up to more than the safety margins.
await t.test('short suspensions add up', async (t) => {
	let monotonicMs = 0;
	let wallClockMs = 0;
	const now = createSuspendClock({
		monotonic: () => monotonicMs,
		wallClock: () => wallClockMs,
	});
	for (let suspension = 0; suspension < 20; suspension += 1) {
		monotonicMs += 100;
		wallClockMs += 140;
		now();
	}

	t.ok(now() > 2600, `the clock shows ${now()} ms after 2.8 s`);
});

/** A clock on a machine whose clocks the test sets; the boot clock has a resolution of 10 ms, as the operating system's has. */
const createMachineClock = () => {
	const machine = {monotonicMs: 0, wallClockMs: 1_000_000, bootMs: 500_000};
	const now = createSuspendClock({
		monotonic: () => machine.monotonicMs,
		wallClock: () => machine.wallClockMs,
		bootClock: () => Math.floor(machine.bootMs / 10) * 10,
	});
	const run = (ms: number) => {
		machine.monotonicMs += ms;
		machine.wallClockMs += ms;
		machine.bootMs += ms;
	};

	const suspend = (ms: number, stepMs = 0) => {
		machine.wallClockMs += ms + stepMs;
		machine.bootMs += ms;
	};

	return {machine, now, run, suspend};
};

// Guards against a leader that believes its lease to be valid after a suspension, because the wall clock was set back
// meanwhile and shows less of it or nothing.
for (const stepMs of [-6000, -5950, -4000, -10_000]) {
	await t.test(`a suspension counts with a step of the wall clock by ${stepMs} ms`, async (t) => {
		const {now, run, suspend} = createMachineClock();
		run(100);
		t.equal(now(), 100);
		suspend(6000, stepMs);
		run(10);
		t.ok(Math.abs(now() - 6110) <= 10, `the clock shows ${now()} ms after 6110 ms`);
		run(1000);
		t.ok(Math.abs(now() - 7110) <= 10, `the clock shows ${now()} ms after 7110 ms`);
	});
}

// Guards against a suspension that counts twice, since both the wall clock and the boot clock show it. Each is read first.
for (const runMs of [0, 5, 10, 200]) {
	await t.test(`a suspension counts once when the clock is read ${runMs} ms after it`, async (t) => {
		const {now, run, suspend} = createMachineClock();
		run(100);
		now();
		suspend(6000);
		run(runMs);
		t.equal(now(), 6100 + runMs, 'the wall clock shows it at once');
		for (let reading = 0; reading < 100; reading += 1) {
			run(7);
			now();
		}

		t.equal(now(), 6800 + runMs);
	});
}

// Guards against short suspensions that count twice, since one clock shows enough of them earlier than the other.
await t.test('short suspensions that both clocks show add up once', async (t) => {
	const {now, run, suspend} = createMachineClock();
	for (let suspension = 0; suspension < 50; suspension += 1) {
		run(103.3);
		suspend(33.4);
		now();
	}

	// Less than 100 ms may not have counted yet, and the boot clock may show up to 10 ms too much of each sum that counts.
	const elapsedMs = 50 * (103.3 + 33.4);
	t.ok(now() > elapsedMs - 100, `the clock shows ${now()} ms after ${elapsedMs} ms`);
	t.ok(now() < elapsedMs + 10 * 17, `the clock shows ${now()} ms after ${elapsedMs} ms`);
});

// Guards against a clock that runs fast because the boot clock is coarse: a leader then took leases for expired before they were.
await t.test('the resolution of the boot clock does not advance the clock faster than time', async (t) => {
	const {now, run} = createMachineClock();
	for (let reading = 0; reading < 10_000; reading += 1) {
		run(1.25);
		now();
	}

	t.equal(now(), 12_500);
});

// Guards against a process that waits for its processor between the readings of two clocks and takes the wait for a suspension.
for (const side of ['before', 'after'] as const) {
	await t.test(`a wait ${side} the reading of the boot clock does not count`, async (t) => {
		let elapsedMs = 0;
		let waitMs = 0;
		const now = createSuspendClock({
			monotonic: () => elapsedMs,
			wallClock: () => 1000 + elapsedMs,
			bootClock() {
				elapsedMs += side === 'before' ? waitMs : 0;
				const bootMs = elapsedMs;
				elapsedMs += side === 'after' ? waitMs : 0;
				return bootMs;
			},
		});
		for (let reading = 0; reading < 200; reading += 1) {
			elapsedMs += 20;
			waitMs = reading % 10 === 5 ? 300 : 0;
			now();
		}

		t.ok(now() <= elapsedMs, `the clock shows ${now()} ms after ${elapsedMs} ms`);
	});
}

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

// Guards against callers that are refused for seconds after a single failed call, while the long polls of an idle instance
// get their responses.
await t.test('a response after a failure proves contact, also to a call that began before it', async (t) => {
	let nowMs = 0;
	const health = createStoreHealth(() => nowMs);
	nowMs = 1500;
	health.recordResponse(0);
	nowMs = 1510;
	health.recordFailure();
	t.ok(health.isLost());
	nowMs = 3000;
	health.recordResponse(1500);
	t.notOk(health.isLost());
	nowMs = 3010;
	health.recordFailure();
	t.ok(health.isLost());
});

await t.test('staleness counts from the call that proved the configuration current', async (t) => {
	let nowMs = 0;
	const health = createStoreHealth(() => nowMs);
	t.equal(health.stalenessMs(), Number.POSITIVE_INFINITY);
	health.recordSync(0);
	nowMs = 1200;
	t.equal(health.stalenessMs(), 1200);
});
