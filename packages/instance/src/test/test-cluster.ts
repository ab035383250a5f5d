import {createLifecycle} from '@bergamotgauge/lifecycle';
import {
	BUNDLE_KEY,
	ServiceError,
	type Bundle,
	type JobClass,
	type JobRecord,
	type JobShardRecord,
	type JobSpecification,
	type ListedInstance,
	type Rack,
	type RackRecord,
} from '@bergamotgauge/model';
import type {Membership} from '@bergamotgauge/peer';
import {createReplica, type InstanceList, type Store} from '@bergamotgauge/store';
import {createWorkerModel, type WorkerModel} from '@bergamotgauge/standins';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import type {WorkerClient} from '@bergamotgauge/worker';
import Emittery from 'emittery';
import type {Context} from '../context.js';
import {createEngine, type Engine} from '../engine.js';
import {createMemoryStore, type MemoryStore} from './memory-store.js';

/** Wraps every external call of one engine, to inject faults. */
export type CallInterceptor = <Result>(name: string, call: () => Promise<Result>) => Promise<Result>;

export type TestEngine = Engine & Readonly<{context: Context; close: () => Promise<void>}>;

export type TestEngineOptions = Readonly<{
	id: string;
	intercept?: CallInterceptor;
	owners?: readonly string[];
	/** The replica gets no changes. */
	isBehind?: boolean;
	/** While this holds, store calls fail and the replica gets no changes. */
	isCutOff?: () => boolean;
	/** A dead worker does not respond, so its lease is not renewed. */
	isWorkerDead?: (worker: string) => boolean;
	/** A mute worker carries out its calls, but their responses are lost. */
	isWorkerMute?: (worker: string) => boolean;
}>;

/** A store and workers that several engines share. */
export type TestCluster = Readonly<{
	store: MemoryStore;
	workers: ReadonlyMap<string, WorkerModel>;
	bundle: Bundle;
	startEngine: (options: TestEngineOptions) => TestEngine;
	jobs: () => readonly JobRecord[];
	racks: () => readonly RackRecord[];
}>;

const passThrough: CallInterceptor = async (_name, call) => call();

const interceptStore = (store: MemoryStore, intercept: CallInterceptor, isCutOff: () => boolean): Store => {
	const callStore = async <Result>(name: string, call: () => Promise<Result>): Promise<Result> =>
		intercept(name, async () => {
			if (isCutOff()) {
				throw new ServiceError('no route to the store', {code: 'store-unavailable', verdict: 'not-run'});
			}

			return call();
		});
	return {
		get: async (key) => callStore(`get ${key}`, async () => store.get(key)),
		list: async (prefix) => callStore(`list ${prefix}`, async () => store.list(prefix)),
		put: async (key, value, expected) => callStore(`put ${key}`, async () => store.put(key, value, expected)),
		remove: async (key, expected) => callStore(`remove ${key}`, async () => store.remove(key, expected)),
		watch: store.watch,
	};
};

const failIf = (isLost: boolean, {name}: WorkerModel): void => {
	if (isLost) {
		throw new ServiceError(`worker ${name} does not answer`, {code: 'worker-failed', verdict: 'may-have-run'});
	}
};

type WorkerFaults = Readonly<{isDead: () => boolean; isMute: () => boolean}>;

const interceptWorker = (
	model: WorkerModel,
	intercept: CallInterceptor,
	{isDead, isMute}: WorkerFaults,
): WorkerClient => {
	const callTask = async (name: string, call: () => number): Promise<number> =>
		intercept(`${name} ${model.name}`, async () => {
			const sequence = call();
			failIf(isMute(), model);
			return sequence;
		});
	return {
		prepare: async (task) => callTask('prepare', () => model.prepare(task)),
		start: async (task) => callTask('start', () => model.start(task)),
		checkpoint: async (task) => callTask('checkpoint', () => model.checkpoint(task)),
		throttle: async (task, cores) => callTask('throttle', () => model.throttle(task, cores)),
		stop: async (task) => callTask('stop', () => model.stop(task)),
		async renewLease(leaseMs) {
			failIf(isDead(), model);
			model.renewLease(leaseMs);
			failIf(isMute(), model);
		},
		async report(afterSequence, waitMs, signal) {
			failIf(isDead(), model);
			const report = await model.report(afterSequence, waitMs, signal);
			failIf(isMute(), model);
			return report;
		},
	};
};

const createFakeMembership = (owners: readonly string[]): Membership => ({
	owners: () => owners,
	members: () => [],
	link: () => undefined,
	applyList: () => undefined,
	receive: (heartbeat) => heartbeat,
	events: new Emittery(),
});

const createFakeList = (): InstanceList => ({
	current: (): readonly ListedInstance[] => [],
	async refresh() {},
	async run() {},
	events: new Emittery(),
});

const rackOf = (name: string, workers: number, guards: boolean): Rack => ({
	name,
	partner: 'partner',
	pool: 'pool',
	availabilityZone: 'a',
	workers: Array.from({length: workers}, (_, position) => ({
		name: `${name}-w${position}`,
		rack: name,
		position,
		address: `${name}-w${position}`,
		availabilityZone: 'a',
		cores: 100,
		memoryGigabytes: 100,
		accelerators: 8,
		guards,
		labels: {},
	})),
});

const jobClassOf = (name: string, changes: Partial<JobClass>): JobClass => ({
	name,
	partner: 'partner',
	urgency: 'normal',
	preemptible: true,
	checkpointSeconds: 1,
	retryRule: 'idempotent',
	defaultDeadlineSeconds: 60,
	maxAttempts: 3,
	...changes,
});

const bundleOf = (racks: number, workers: number, guards: boolean): Bundle => ({
	generation: 1,
	customers: ['alpha', 'beta'].map((name) => ({
		name,
		partner: 'partner',
		weight: 1,
		labels: {},
		quota: {accelerators: 64, queuedJobs: 5000, concurrentRequests: 10, queuedRequests: 10},
	})),
	guarantees: [{name: 'alpha-eight', customer: 'alpha', count: 1, accelerators: 8, workerSelector: {}}],
	jobClasses: [
		jobClassOf('batch', {}),
		jobClassOf('urgent', {urgency: 'urgent', preemptible: false, checkpointSeconds: 0}),
		jobClassOf('once', {retryRule: 'at-most-once', preemptible: false, checkpointSeconds: 0}),
	],
	pools: [
		{
			name: 'pool',
			weights: {completionTime: 0.5, fragmentation: 0.5},
			shares: [{partner: 'partner', share: 1}],
		},
	],
	placementRules: [],
	racks: Array.from({length: racks}, (_, index) => rackOf(`r${index}`, workers, guards)),
	services: [],
	tokens: [],
});

/** A job of `accelerators` that declares a run time of one second; the payload sets how long it really runs. */
export const specificationOf = (accelerators: number, payload: unknown, jobClass = 'batch'): JobSpecification => ({
	jobClass,
	labels: {},
	accelerators,
	coresPerAccelerator: 1,
	memoryGigabytesPerAccelerator: 1,
	declaredSeconds: 1,
	workerSelector: {},
	payload,
});

/** Creates a store with a bundle of `racks` racks of `workersPerRack` workers. The caller must have installed fake timers. */
export const createTestCluster = async (racks = 1, workersPerRack = 3, guards = true): Promise<TestCluster> => {
	const store = createMemoryStore();
	const bundle = bundleOf(racks, workersPerRack, guards);
	await store.put(BUNDLE_KEY, bundle, 0);
	const workers = new Map(
		bundle.racks.flatMap((rack) => rack.workers).map(({name}) => [name, createWorkerModel(name)]),
	);

	const startEngine: TestCluster['startEngine'] = ({
		id,
		intercept = passThrough,
		owners = [id],
		isWorkerDead = () => false,
		isWorkerMute = () => false,
		isBehind = false,
		isCutOff = () => false,
	}) => {
		const lifecycle = createLifecycle(id);
		const replica = createReplica();
		const context: Context = {
			settings: {
				id,
				availabilityZone: 'a',
				host: '127.0.0.1',
				port: 0,
				peerHost: '127.0.0.1',
				peerPort: 0,
				storeUrl: 'http://127.0.0.1:1',
				instanceListUrl: 'http://127.0.0.1:1',
				bootstrapTokenSha256: '0'.repeat(64),
				drainSeconds: 1,
				logLevel: 'error',
			},
			lifecycle,
			log: createSilentLog(),
			metrics: createMetrics(),
			store: interceptStore(store, intercept, isCutOff),
			replica,
			list: createFakeList(),
			membership: createFakeMembership(owners),
			state: () => 'live',
			publish: replica.applyEntry,
		};
		const engine = createEngine({
			context,
			createClient: (address) =>
				interceptWorker(workers.get(address)!, intercept, {
					isDead: () => isWorkerDead(address),
					isMute: () => isWorkerMute(address),
				}),
		});
		replica.apply({revision: 1, entries: store.entries(), compacted: true});
		const unsubscribe = store.events.on('changed', (changes) => {
			if (!isBehind && !isCutOff()) {
				replica.apply(changes);
			}
		});
		lifecycle.add('subscription', unsubscribe);
		engine.start();
		return {...engine, context, close: async () => lifecycle.close()};
	};

	const valuesOf = <Value>(prefix: string): readonly Value[] =>
		store
			.entries()
			.filter(({key}) => key.startsWith(prefix))
			.map(({value}) => value as Value);

	return {
		store,
		workers,
		bundle,
		startEngine,
		jobs: () => valuesOf<JobShardRecord>('jobs/').flatMap((shard) => Object.values(shard.jobs)),
		racks: () => valuesOf<RackRecord>('racks/'),
	};
};
