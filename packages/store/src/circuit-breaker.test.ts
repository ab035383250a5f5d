import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {createCircuitBreaker} from './circuit-breaker.js';
import {BREAKER_FAILURES, BREAKER_MAX_MS} from './constants.js';

// Guards against flooding the store with probes during a long outage, and against a breaker that stays open after it.
await t.test('an hour of outage causes few probes, and the breaker closes within the longest backoff', async (t) => {
	const clock = FakeTimers.install();
	t.teardown(() => {
		clock.uninstall();
	});
	const breaker = createCircuitBreaker(() => 0.5);
	for (let index = 0; index < BREAKER_FAILURES; index += 1) {
		t.equal(breaker.admit(), 'closed');
		breaker.recordFailure();
	}

	let probes = 0;
	for (let elapsedMs = 0; elapsedMs < 3_600_000; elapsedMs += 100) {
		clock.tick(100);
		if (breaker.admit() === 'probe') {
			probes += 1;
			breaker.recordFailure();
		}
	}

	t.ok(probes <= 3_600_000 / (BREAKER_MAX_MS / 2), `${probes} probes`);
	clock.tick(BREAKER_MAX_MS);
	t.equal(breaker.admit(), 'probe');
	t.equal(breaker.admit(), 'open', 'one probe at a time');
	breaker.recordSuccess();
	t.equal(breaker.admit(), 'closed');
});
