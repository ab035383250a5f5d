import t from 'tap';
import {createTestCluster, newWorker, submitStep, unitOf} from './test/cluster.js';

// Guards against a step of the wall clock that delays starts for longer than it interrupts the leader's term.
await t.test('a step of the clock delays starts only until the lease is renewed', async (t) => {
	const waits: number[] = [];
	for (let offsetMs = 0; offsetMs < 2000; offsetMs += 100) {
		await t.test(`step at ${offsetMs} ms`, async (t) => {
			const cluster = createTestCluster(t, [newWorker('w1')]);
			const {scheduler} = cluster.startInstance('one');
			await cluster.clock.tickAsync(3000 + offsetMs);
			cluster.clock.setSystemTime(cluster.clock.now + 6000);
			await cluster.clock.tickAsync(1);
			await submitStep(scheduler.jobs, 1);
			let waitedMs = 1;
			while (cluster.startsOf(unitOf(1)) === 0 && waitedMs < 8000) {
				await cluster.clock.tickAsync(10);
				waitedMs += 10;
			}

			waits.push(waitedMs);
		});
	}

	t.comment(waits.join(' '));
	t.ok(Math.max(...waits) < 800, `longest delay ${Math.max(...waits)} ms`);
});
