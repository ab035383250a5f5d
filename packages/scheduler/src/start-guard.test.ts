import {createLog, createMetrics, parseLine, type LogLine} from '@bergamotgauge/telemetry';
import t from 'tap';
import {createStartGuard, maxViewAgeMs, viewTiming} from './start-guard.js';
import {BOUNDS} from './test/cluster.js';
import {createViewAges} from './view-ages.js';

// Guards against a watch that is so slow that a view without any fault counts as outdated.
await t.test('a view stays within its age between two responses of its watch', async (t) => {
	for (const boundMs of [500, 1000, 2000, 3000, 4000, 20_000]) {
		const {waitMs, pauseMs} = viewTiming(() => boundMs, 250);
		t.ok(2 * waitMs() + pauseMs() < 0.9 * maxViewAgeMs(boundMs), `bound of ${boundMs} ms`);
		t.ok(maxViewAgeMs(boundMs) < boundMs);
	}
});

// Guards against starts on outdated views, and against log lines for each check.
await t.test('starts are paused while a view is outdated, with one log line for each change', async (t) => {
	const lines: LogLine[] = [];
	const log = createLog({
		level: 'info',
		output: {
			write(text: string) {
				const line = parseLine(text);
				if (line) {
					lines.push(line);
				}
			},
		},
	});
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
