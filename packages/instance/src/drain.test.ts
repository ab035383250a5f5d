import {createSilentLog} from '@bergamotgauge/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {createDrain} from './drain.js';

// Guards against a shutdown that aborts requests in progress, refuses requests before the load balancer has noticed, or never ends.
await t.test('a graceful shutdown follows its sequence within its time limit', async (t) => {
	for (const [finishAfterMs, endsAtMs] of [
		[2000, 2000],
		[60_000, 30_500],
	] as const) {
		const clock = FakeTimers.install();
		const steps: string[] = [];
		const recordStep = (step: string) => () => {
			steps.push(`${step} at ${Math.round(performance.now() / 100) * 100}`);
		};

		const drain = createDrain({
			log: createSilentLog(),
			drainMs: 30_000,
			stopReadiness: recordStep('readiness'),
			stopAccepting: recordStep('refuse'),
			inProgress: () => (performance.now() < finishAfterMs ? 1 : 0),
			async handOver() {
				recordStep('hand over')();
			},
			async close() {
				recordStep('close')();
			},
		});
		const both = Promise.all([drain(), drain()]);
		await clock.tickAsync(70_000);
		await both;
		clock.uninstall();
		t.same(steps, ['readiness at 0', 'refuse at 500', `hand over at ${endsAtMs}`, `close at ${endsAtMs}`]);
	}
});
