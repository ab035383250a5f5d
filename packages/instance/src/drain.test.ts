import {createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {createDrain} from './drain.js';

// Guards against a stop that cuts requests in progress, refuses before the load balancer knows, or never ends.
await t.test('a planned stop follows its sequence within its bound', async (t) => {
	for (const [finishAfterMs, endsAtMs] of [
		[2000, 2000],
		[60_000, 30_500],
	] as const) {
		const clock = FakeTimers.install();
		const steps: string[] = [];
		const note = (step: string) => () => {
			steps.push(`${step} at ${Math.round(performance.now() / 100) * 100}`);
		};

		const drain = createDrain({
			log: createSilentLog(),
			drainMs: 30_000,
			stopReadiness: note('readiness'),
			stopAccepting: note('refuse'),
			inProgress: () => (performance.now() < finishAfterMs ? 1 : 0),
			async handOver() {
				note('hand over')();
			},
			async close() {
				note('close')();
			},
		});
		const both = Promise.all([drain(), drain()]);
		await clock.tickAsync(70_000);
		await both;
		clock.uninstall();
		t.same(steps, ['readiness at 0', 'refuse at 500', `hand over at ${endsAtMs}`, `close at ${endsAtMs}`]);
	}
});
