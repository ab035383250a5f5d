import {Buffer} from 'node:buffer';
import {newStep} from '@bergamotgauge/jobs/test/fixtures.js';
import t from 'tap';
import type {Wave} from './maintenance/types.js';
import {createTestCluster, newWorker, submitStep, unitOf} from './test/cluster.js';
import {createModelMachines} from './test/model-machines.js';

// Guards against the maintenance of a machine whose unit is the last one at work: the other one is on a worker that has
// crashed, and its last report is believed until its lease has ended.
await t.test('a unit on a silent worker counts as absent', async (t) => {
	const ids = ['a', 'b'];
	const machines = createModelMachines(ids, 2000);
	const {clock, store, workers, startInstance} = createTestCluster(
		t,
		ids.map((id) => newWorker(`w-${id}`)),
		() => ({runMs: 600_000, how: 'done', startupMs: 500}),
		{machines: machines.port},
	);
	const {scheduler} = startInstance('i-1');
	await clock.tickAsync(2000);
	await submitStep(scheduler.jobs, 1, newStep({count: 2, longRunning: true, maxAbsent: 1, maxPerWorker: 1}));
	await clock.tickAsync(8000);
	const workerOf = (index: number) =>
		[...workers.values()].find((worker) => worker.running().some(({unit}) => unit === unitOf(1, index)))!;
	const machineId = workerOf(0).worker.id.slice('w-'.length);
	const crashed = workerOf(1);
	crashed.faults.isCutOff = true;
	crashed.faults.responseLossMs = 10_000;
	crashed.crash();
	await clock.tickAsync(4500);
	const wave: Wave = {number: 1, machineIds: [machineId], durationMs: 3500, maxDown: 1};
	store.put('waves/1', Buffer.from(JSON.stringify(wave)));
	await clock.tickAsync(3000);
	t.same(machines.orders, []);
	crashed.faults.isCutOff = false;
	await clock.tickAsync(20_000);
	t.ok(machines.orders.length > 0);
});

// Guards against the maintenance of a machine that looks idle to a new leader only because its worker has not responded yet.
await t.test('a machine whose runs are not known is not taken down', async (t) => {
	const machines = createModelMachines(['a'], 2000);
	const {clock, store, workers, startInstance} = createTestCluster(
		t,
		[newWorker('w-a')],
		() => ({runMs: 600_000, how: 'done', startupMs: 500}),
		{machines: machines.port},
	);
	const first = startInstance('i-1');
	await clock.tickAsync(2000);
	await submitStep(first.scheduler.jobs, 1, newStep({longRunning: true, maxAbsent: 0}));
	await clock.tickAsync(8000);
	const worker = workers.get('w-a')!;
	t.equal(worker.running().length, 1);
	worker.faults.isMute = true;
	first.crash();
	startInstance('i-2');
	const wave: Wave = {number: 1, machineIds: ['a'], durationMs: 3500, maxDown: 1};
	store.put('waves/1', Buffer.from(JSON.stringify(wave)));
	while (worker.running().length > 0) {
		t.same(machines.orders, []);
		await clock.tickAsync(500);
	}

	await clock.tickAsync(10_000);
	t.ok(machines.orders.length > 0);
});
