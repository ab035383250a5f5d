import {Buffer} from 'node:buffer';
import type {Test} from 'tap';
import type {Wave} from '../maintenance/types.js';
import type {Policy} from '../policy.js';
import {createTestCluster, newWorker, WORKER_PREFIX, type TestCluster} from './cluster.js';
import {createModelMachines, type ModelMachines} from './model-machines.js';

const MAINTENANCE_MS = 2000;
const STARTUP_MS = 500;
const SAMPLE_MS = 50;
/** Time for which calls to a machine that has gone down wait in vain. */
const RESPONSE_LOSS_MS = 10_000;

/** A cluster whose workers end with the maintenance of their machines; new workers join after it. */
export type MaintenanceCluster = Readonly<{
	cluster: TestCluster;
	machines: ModelMachines;
	startWave: (wave: Wave) => void;
	/** State of the wave as stored. */
	stateOf: (wave: number) => string | undefined;
	/** Machine on which the unit runs. */
	machineOf: (unit: string) => string | undefined;
	/** Advances the clock and counts the serving units meanwhile. */
	observe: (lengthMs: number) => Promise<void>;
	/** Least number of units that were serving at the same time since the first call of `observe`. */
	leastServing: () => number;
}>;

/** Creates the cluster; its long-running units are serving 0.5 s after their starts. */
export const createMaintenanceCluster = (
	t: Test,
	machineIds: readonly string[],
	policy?: Policy,
): MaintenanceCluster => {
	const machines = createModelMachines(machineIds, MAINTENANCE_MS, {
		onDown(workerId) {
			const model = cluster.workers.get(workerId)!;
			model.faults.isCutOff = true;
			model.faults.responseLossMs = RESPONSE_LOSS_MS;
			model.crash();
			cluster.store.remove(WORKER_PREFIX + workerId);
		},
		onUp(workerId) {
			cluster.addWorker(newWorker(workerId));
		},
	});
	const cluster = createTestCluster(
		t,
		machineIds.map((id) => newWorker(`w-${id}`)),
		() => ({runMs: 3_600_000, how: 'done', startupMs: STARTUP_MS}),
		{machines: machines.port, policy},
	);
	/** Times at which the runs were first seen. */
	const seenMs = new Map<string, number>();
	let leastServing = Number.POSITIVE_INFINITY;

	const running = () =>
		[...cluster.workers.values()].flatMap((model) =>
			model.running().map(({unit, run}) => ({unit, key: `${unit} ${run}`, workerId: model.worker.id})),
		);

	const countServing = (): number => {
		const nowMs = performance.now();
		return running().filter(({key}) => {
			const sinceMs = seenMs.get(key) ?? nowMs;
			seenMs.set(key, sinceMs);
			// A run is seen up to one sample after its start.
			return nowMs - sinceMs >= STARTUP_MS - SAMPLE_MS;
		}).length;
	};

	return {
		cluster,
		machines,
		leastServing: () => leastServing,
		startWave(wave) {
			cluster.store.put(`waves/${wave.number}`, Buffer.from(JSON.stringify(wave)));
		},
		stateOf(wave) {
			const item = cluster.store.items().find(({key}) => key === `wave-states/${wave}`);
			return item && Buffer.from(item.value).toString();
		},
		machineOf(unit) {
			const workerId = running().find((run) => run.unit === unit)?.workerId;
			return machineIds.find((id) => workerId === `w-${id}` || workerId?.startsWith(`w-${id}-`));
		},
		async observe(lengthMs) {
			for (const {key} of running()) {
				// Runs from before the first observation have been serving for long.
				seenMs.set(key, seenMs.get(key) ?? Number.NEGATIVE_INFINITY);
			}

			for (let passedMs = 0; passedMs < lengthMs; passedMs += SAMPLE_MS) {
				leastServing = Math.min(leastServing, countServing());
				await cluster.clock.tickAsync(SAMPLE_MS);
			}
		},
	};
};
