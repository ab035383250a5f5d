/** Pattern: a leader ends after workers have listed ends to it that the store has not taken. */
import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import {JOBS_PREFIX} from './keys.js';
import {addressOf, createTestCluster, newWorker, submitStep, unitOf, type TestCluster} from './test/cluster.js';
import type {ModelWorker} from './test/model-worker-types.js';

const RUN_MS = 2000;

/** Reasons for which a worker gets no more orders, so that the roster lists the parts that are on it. */
const ORDER_STOPS: Readonly<Record<string, (cluster: TestCluster, worker: ModelWorker) => void>> = {
	draining(cluster, {worker}) {
		cluster.report({...worker, state: 'draining', remainingMs: 20_000});
	},
	silent(_cluster, {faults}) {
		faults.isCutOff = true;
	},
};

for (const [reason, stopOrders] of Object.entries(ORDER_STOPS)) {
	// Guards against a unit that runs twice: the roster no longer listed it on its worker, although its end was not stored
	// yet, so the next leader started it elsewhere before the worker had listed the end again.
	await t.test(`a unit whose end is not stored stays in the roster of its ${reason} worker`, async (t) => {
		const workers = [newWorker('w1'), newWorker('w2')];
		const cluster = createTestCluster(t, workers, () => ({runMs: RUN_MS, how: 'done'}));
		const first = cluster.startInstance('one');
		await cluster.clock.tickAsync(500);
		const second = cluster.startInstance('two');
		await cluster.clock.tickAsync(500);
		await submitStep(first.scheduler.jobs, 1, newStep({estimateMs: RUN_MS}));
		await cluster.clock.tickAsync(500);
		const worker = [...cluster.workers.values()].find(({starts}) => starts.size > 0)!;
		cluster.store.faults.refusedKeys.add(JOBS_PREFIX);
		await cluster.clock.tickAsync(RUN_MS);
		stopOrders(cluster, worker);
		await cluster.clock.tickAsync(4000);
		first.crash();
		cluster.store.faults.refusedKeys.clear();
		worker.faults.isCutOff = false;
		worker.faults.reportDelayMs = 500;
		await cluster.clock.tickAsync(15_000);
		t.same(cluster.violations, []);
		t.equal(cluster.startsOf(unitOf(1)), 1);
		t.equal(await second.scheduler.jobs.state(addressOf(1)), 'completed');
	});
}
