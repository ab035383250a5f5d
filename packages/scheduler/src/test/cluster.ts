import {Buffer} from 'node:buffer';
import {newStep, newSubmission} from '@bergamotgauge/jobs/test/fixtures.js';
import {createLifecycle, type Lifecycle} from '@bergamotgauge/lifecycle';
import {ServiceError} from '@bergamotgauge/model';
import {createMetrics, createSilentLog, type Log} from '@bergamotgauge/telemetry';
import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import type {Test} from 'tap';
import type {JobAddress} from '../callers/types.js';
import type {JobService} from '../job-service.js';
import {DEFAULT_POLICY, type Policy} from '../policy.js';
import {startScheduler, type Scheduler} from '../scheduler.js';
import {createStoreHealth} from '../store-health.js';
import type {AdvicePort, Bounds, Declarations, Queue, Resources, Worker, WorkerPort} from '../types.js';
import type {MachinePort, Wave, WaveRecords, WaveState} from '../maintenance/types.js';
import {createMemoryKeyValue, type MemoryKeyValue} from './memory-key-value.js';
import {createModelGangs, NO_GANGS} from './model-gangs.js';
import type {UnitBehaviour} from './model-runs.js';
import {createModelWorker} from './model-worker.js';
import type {ModelWorker} from './model-worker-types.js';
import {createRunChecker, type RunViolation} from './run-checker.js';

export const BOUNDS: Bounds = {
	maxLeaseMs: 10_000,
	stopMs: 400,
	remoteFactor: 3,
	stateRetentionMs: 120_000,
	revocationMs: 5000,
	reclaimMs: 2900,
	graceMs: 6000,
	maxInterferenceMs: 4000,
	maintenanceMs: 2000,
	machineLeaseMs: 3000,
	cancellationMs: 3000,
	drainNoticeMs: 2000,
	evacuationMs: undefined,
};

export const QUEUE: Queue = {
	name: 'ranking',
	service: 'matching',
	priority: 1,
	attempts: 2,
	stretch: 3,
	targetLatencyMs: 1000,
	advice: undefined,
	isPublic: false,
};

export const DECLARATIONS: Declarations = {
	version: 1,
	queues: [QUEUE],
	customers: [{name: 'acme', guaranteedAccelerators: 16, priority: 1}],
};

export const newWorker = (id: string, change: Partial<Worker> = {}): Worker => ({
	id,
	address: `${id}:80`,
	service: 'matching',
	availabilityZone: 'a',
	state: 'ready',
	capacity: {cpuMillis: 64_000, memoryMb: 64_000, accelerators: 8},
	labels: ['a', 'r1-1'],
	rack: 'r1-1',
	remainingMs: undefined,
	...change,
});

const WAVE_PREFIX = 'waves/';

export const EVACUATION_PREFIX = 'evacuations/';

const WAVE_RECORDS: WaveRecords = {
	prefix: WAVE_PREFIX,
	decode: (_key, value) => JSON.parse(Buffer.from(value).toString()) as Wave,
	stateKey: (wave) => `wave-states/${wave}`,
	encodeState: (state) => Buffer.from(state),
	decodeState: (value) => Buffer.from(value).toString() as WaveState,
};

/** A port whose calls all end in the same way. */
const createDeadPort = (call: () => Promise<Readonly<{outcome: 'refused'; reason: 'other-life'}>>): WorkerPort => ({
	start: async () => ({...(await call()), clockMs: undefined}),
	stop: async () => ({...(await call()), clockMs: undefined}),
	throttle: async () => ({...(await call()), clockMs: undefined}),
	renewLease: call,
	close() {
		// There are no connections.
	},
});

/** Port to an address at which no worker listens. */
const UNREACHABLE_PORT = createDeadPort(async () => {
	throw new ServiceError('connection refused', {code: 'worker-failed', verdict: 'not-run'});
});

/** Port to the address of another worker. */
const OTHER_WORKER_PORT = createDeadPort(async () => ({outcome: 'refused', reason: 'other-life'}));

export type Instance = Readonly<{scheduler: Scheduler; lifecycle: Lifecycle; crash: () => void}>;

/** A simulated store and workers, shared by several instances. */
export type TestCluster = Readonly<{
	clock: Clock;
	store: MemoryKeyValue;
	workers: ReadonlyMap<string, ModelWorker>;
	startInstance: (id: string) => Instance;
	/** Writes a worker's report to the store. */
	report: (worker: Worker) => void;
	/** Changes the capacity of a worker and reports it. */
	resize: (workerId: string, capacity: Resources) => void;
	/** Ends the worker's process; a new incarnation starts after a while, by default under the same id if the worker reports its start time. */
	crashWorker: (workerId: string, keepsId?: boolean) => void;
	/** Adds a worker that joins later. */
	addWorker: (worker: Worker) => void;
	/** Number of starts of the unit on all workers. */
	startsOf: (unit: string) => number;
	/** Starts on the workers that the protocol forbids. */
	violations: readonly RunViolation[];
}>;

export const WORKER_PREFIX = 'workers/';

/** Time from the crash of a worker until its next incarnation responds. */
export const WORKER_RESTART_MS = 3000;

/** Time for which a member of a gang waits for the others. */
export const MAX_GANG_WAIT_MS = 3000;

/** Creates a cluster on a fake clock; it is closed when the test ends. */
export const createTestCluster = (
	t: Test,
	workers: readonly Worker[],
	behaviourOf: (unit: string) => UnitBehaviour = () => ({runMs: 1000, how: 'done'}),
	{
		advice,
		machines,
		log,
		policy = DEFAULT_POLICY,
		bounds = BOUNDS,
		acceleratorsOf = () => 0,
		gangUnitsOf,
	}: Readonly<{
		advice?: AdvicePort;
		machines?: MachinePort;
		log?: Log;
		policy?: Policy;
		/** Limits of the deployment; a test that changes the object reloads the settings. */
		bounds?: Bounds;
		/** Accelerators that a unit needs, for the check of the workers' capacity. */
		acceleratorsOf?: (unit: string) => number;
		/** Units of a unit's gang, which wait for each other on the workers; without it, members of gangs begin at once. */
		gangUnitsOf?: (unit: string) => readonly string[];
	}> = {},
): TestCluster => {
	const clock = FakeTimers.install({now: 1_000_000});
	const store = createMemoryKeyValue();
	const models = new Map<string, ModelWorker>();
	const gangs = gangUnitsOf ? createModelGangs(gangUnitsOf, MAX_GANG_WAIT_MS) : NO_GANGS;
	const checker = createRunChecker(models, acceleratorsOf);
	const lifecycles: Lifecycle[] = [];
	const report = (worker: Worker) => {
		store.put(WORKER_PREFIX + worker.id, Buffer.from(JSON.stringify(worker)));
	};

	const addWorker = (worker: Worker) => {
		const crash = () => {
			crashWorker(worker.id);
		};

		models.set(worker.id, createModelWorker(worker, behaviourOf, checker.eventsOf(worker, crash), gangs));
		checker.setAccelerators(worker.id, worker.capacity.accelerators);
		report(worker);
	};

	const crashWorker = (workerId: string, keepsId = models.get(workerId)!.startedMs() !== undefined) => {
		const model = models.get(workerId)!;
		model.crash(keepsId);
		model.setAvailability('down');
		setTimeout(() => {
			if (keepsId) {
				model.restart();
				report({...model.worker, startedMs: model.startedMs()});
				return;
			}

			model.setAvailability('replaced');
			store.remove(WORKER_PREFIX + workerId);
			addWorker({...model.worker, id: `${workerId}'`});
		}, WORKER_RESTART_MS);
	};

	const portTo = ({id, address}: Worker): WorkerPort => {
		const model = models.get(id)!;
		if (model.worker.address === address) {
			return model.port();
		}

		const isInUse = [...models.values()].some(({worker}) => worker.address === address);
		return isInUse ? OTHER_WORKER_PORT : UNREACHABLE_PORT;
	};

	for (const worker of workers) {
		addWorker(worker);
	}

	t.teardown(async () => {
		const closed = Promise.all(lifecycles.map(async (lifecycle) => lifecycle.close()));
		await clock.tickAsync(30_000);
		await closed;
		clock.uninstall();
	});

	return {
		clock,
		store,
		workers: models,
		report,
		resize(workerId, capacity) {
			checker.setAccelerators(workerId, capacity.accelerators);
			report({...models.get(workerId)!.worker, capacity});
		},
		crashWorker,
		addWorker,
		violations: checker.violations,
		startsOf: (unit) => [...models.values()].reduce((sum, {starts}) => sum + (starts.get(unit) ?? 0), 0),
		startInstance(id) {
			const lifecycle = createLifecycle(id, (task, error) => {
				t.fail(`${task}: ${error.message}`);
			});
			lifecycles.push(lifecycle);
			let isCrashed = false;
			const requireAlive = () => {
				if (isCrashed) {
					throw new Error('the instance has crashed');
				}
			};

			const guard =
				<Arguments extends unknown[], Result>(call: (...values: Arguments) => Promise<Result>) =>
				async (...values: Arguments): Promise<Result> => {
					requireAlive();
					return call(...values);
				};

			const scheduler = startScheduler({
				context: {
					instanceId: id,
					cores: 1,
					store: {
						get: guard(store.get),
						list: guard(store.list),
						watch: guard(store.watch),
						transact: guard(store.transact),
						grantLease: guard(store.grantLease),
						renewLease: guard(store.renewLease),
						revokeLease: guard(store.revokeLease),
					},
					maxValueBytes: store.faults.valueBytes,
					bounds,
					log: log ?? createSilentLog(),
					metrics: createMetrics(),
					declarations: () => DECLARATIONS,
					policy,
					advice,
					machines,
					waves: WAVE_RECORDS,
					evacuations: {prefix: EVACUATION_PREFIX, zoneOf: (key) => key.slice(EVACUATION_PREFIX.length)},
					connectWorker(worker) {
						const port = portTo(worker);
						return {
							start: guard(port.start),
							stop: guard(port.stop),
							throttle: guard(port.throttle),
							renewLease: guard(port.renewLease),
							close: port.close,
						};
					},
					decodeWorker: (_key, value) => JSON.parse(Buffer.from(value).toString()) as Worker,
					workerPrefix: WORKER_PREFIX,
				},
				health: createStoreHealth(),
				lifecycle,
			});
			return {
				scheduler,
				lifecycle,
				crash() {
					isCrashed = true;
				},
			};
		},
	};
};

/** Submits a job of one step for the configured customer. */
export const submitStep = async (jobs: JobService, id: number, step = newStep()): Promise<void> =>
	jobs.submit({queue: QUEUE, customer: 'acme', submission: newSubmission(id, [step])});

export const unitOf = (id: number, index = 0): string => `${id.toString(16).padStart(16, '0')}.0.0.${index}`;

export const addressOf = (id: number): JobAddress => ({
	queue: QUEUE,
	customer: 'acme',
	id: id.toString(16).padStart(16, '0'),
});
