import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {JOBS_PREFIX} from './keys.js';
import {addressOf, BOUNDS, createTestCluster, newWorker, submitStep, unitOf} from './test/cluster.js';

// Guards against repeats of a start after the cancellation of its job, whose first attempt was sent while the view was recent enough.
await t.test('no attempt at a start is sent on an outdated view of the jobs', async (t) => {
	const startCalls: number[] = [];
	// The watch on jobs falls silent at different times before the unit can start, so that its age at the first attempt differs.
	for (let silentMs = 0; silentMs <= 1500; silentMs += 50) {
		await t.test(`silent from ${silentMs} ms before the unit can start`, async (t) => {
			const cluster = createTestCluster(t, [newWorker('w1')], (unit) => ({
				runMs: unit === unitOf(1) ? 5000 : 20_000,
				how: 'done',
			}));
			cluster.startInstance('one');
			await cluster.clock.tickAsync(500);
			const other = cluster.startInstance('two');
			await submitStep(other.scheduler.jobs, 1, newStep({accelerators: 8}));
			await submitStep(other.scheduler.jobs, 2, newStep({accelerators: 8}));
			await cluster.clock.tickAsync(500);
			const worker = cluster.workers.get('w1')!;
			worker.faults.responseLossMs = 10_000;
			worker.faults.patterns.start = ['dropped'];
			await cluster.clock.tickAsync(4600 - silentMs);
			cluster.store.faults.silentWatches.add(JOBS_PREFIX);
			cluster.store.silenceWatches(JOBS_PREFIX);
			await cluster.clock.tickAsync(10);
			await other.scheduler.jobs.cancel(addressOf(2));
			const cancelledMs = performance.now();
			await cluster.clock.tickAsync(6000);
			const startedMs = worker.calls
				.filter(({kind, unit}) => kind === 'start' && unit === unitOf(2))
				.map(({atMs}) => atMs);
			startCalls.push(...startedMs);
			t.ok(
				startedMs.every((atMs) => atMs <= cancelledMs + BOUNDS.cancellationMs),
				`starts ${startedMs.map((atMs) => atMs - cancelledMs).join(', ')} ms after the cancellation`,
			);
		});
	}

	t.ok(startCalls.length > 0, 'some of the starts were sent');
});
