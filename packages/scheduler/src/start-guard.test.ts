import {createMetrics} from '@bergamotgauge/telemetry';
import t from 'tap';
import {START_LEAD_MS} from './constants.js';
import {createStartGuard, maxViewAgeMs, MIN_START_BOUND_MS} from './start-guard.js';
import {BOUNDS} from './test/cluster.js';
import {createRecordedLog} from './test/recorded-log.js';
import {createViewAges} from './view-ages.js';

// Guards against starts on outdated views, and against log lines for each check.
await t.test('starts are paused while a view is outdated, with one log line for each change', async (t) => {
	const {log, lines} = createRecordedLog();
	let nowMs = 0;
	const ages = createViewAges(() => nowMs);
	const guard = createStartGuard({ages, bounds: BOUNDS, log, metrics: createMetrics()});
	t.notOk(guard.mayStart(), 'nothing was read yet');
	t.notOk(guard.update());
	const sync = () => {
		ages.jobs.recordSync(nowMs);
		ages.workers.recordSync(nowMs);
	};

	sync();
	t.ok(guard.update(), 'starts are resumed');
	t.notOk(guard.update());
	nowMs += BOUNDS.cancellationMs;
	t.notOk(guard.mayStart());
	t.notOk(guard.update());
	sync();
	t.ok(guard.update());
	t.same(
		lines.map(({event}) => event),
		['starts-resumed', 'starts-paused', 'starts-resumed'],
	);
});

// Guards against a limit from which a bound counts as kept although a start on the oldest view exceeds it.
await t.test('bounds on starts are kept from their limit on, and not below', async (t) => {
	const latestMs = (boundMs: number): number => maxViewAgeMs(boundMs) + START_LEAD_MS;
	const limitMs = Math.ceil(MIN_START_BOUND_MS);
	for (const boundMs of [limitMs, limitMs + 100, 3 * limitMs]) {
		t.ok(latestMs(boundMs) <= boundMs, `${boundMs} ms`);
	}

	t.ok(latestMs(limitMs - 1) > limitMs - 1);
});
