import type {CallerService} from '@bergamotgauge/caller';
import {createDispatcher, type Dispatcher, type Endpoint} from '@bergamotgauge/endpoint';
import {createLifecycle, sleep, type Lifecycle} from '@bergamotgauge/lifecycle';
import {BUNDLE_KEY, type ListedInstance} from '@bergamotgauge/model';
import type {OperatorService, Status} from '@bergamotgauge/operator';
import {
	createMembership,
	startPeerServer,
	type Heartbeat,
	type HeartbeatMessage,
	type MemberState,
	type OwnHeartbeat,
} from '@bergamotgauge/peer';
import {createInstanceList, createOperationHistory, createReplica, createStoreClient} from '@bergamotgauge/platform';
import {createMetrics, type Log, type Metrics} from '@bergamotgauge/telemetry';
import {mergeBundle} from './bundle-merge.js';
import {createConfiguration} from './configuration.js';
import {DRAIN_POLL_MS, READINESS_LEAD_MS} from './constants.js';
import {allJobs, allRacks, bundleOf, type Context} from './context.js';
import {authenticateOperator, startHttpServer} from './http-server.js';
import {createJobStore, type JobStore} from './job-store.js';
import {createJobViews, type JobViews} from './job-views.js';
import {runPlanner} from './planner-loop.js';
import {runRackLoop} from './rack-loop.js';
import {createReplication, type Replication} from './replication.js';
import type {Instance, Settings} from './types.js';
import {createWaker} from './waker.js';
import {createWorkerLinks, type WorkerLinks} from './worker-links.js';

type Mutable = {state: MemberState; peerAddress: string};

const isWildcard = (host: string): boolean => host === '0.0.0.0' || host === '::';

const endpointsOf = (list: readonly ListedInstance[]): readonly Endpoint[] =>
	list
		.filter(({role}) => role === 'endpoint')
		.map(({id, address, availabilityZone, labels, state}) => ({
			id,
			address,
			availabilityZone,
			labels,
			isLeaving: state === 'leaving',
		}));

const createContext = (
	settings: Settings,
	lifecycle: Lifecycle,
	log: Log,
	metrics: Metrics,
	status: Mutable,
	heartbeat: () => OwnHeartbeat,
): Readonly<{context: Context; replication: Replication}> => {
	const history = createOperationHistory();
	const replica = createReplica({mergeEntry: mergeBundle, onMerged: history.observe});
	const context: Context = {
		settings,
		lifecycle,
		log,
		metrics,
		store: createStoreClient({url: settings.storeUrl, metrics, history}),
		replica,
		list: createInstanceList({
			url: settings.instanceListUrl,
			onFailure(error) {
				log.warn('instance-list-failed', {error: error.message});
			},
		}),
		membership: createMembership({self: heartbeat, lifecycle, log}),
		state: () => status.state,
		publish(entry) {
			replica.applyOwnWrite(entry);
			replication.spread(entry);
		},
	};
	const replication = createReplication(context, history);
	return {context, replication};
};

const statusOf = (context: Context, heartbeat: () => OwnHeartbeat): Status => {
	const bundle = bundleOf(context.replica);
	const racks = allRacks(context.replica);
	const describe = (beat: OwnHeartbeat | undefined, id: string, health: string) => ({
		id,
		health,
		availabilityZone: beat?.availabilityZone ?? '',
		state: beat?.state ?? 'unknown',
		generation: beat?.generation ?? 0,
		revision: beat?.revision ?? 0,
	});
	return {
		generation: bundle?.generation ?? 0,
		instances: [
			describe(heartbeat(), context.settings.id, 'alive'),
			...context.membership.members().map((member) => describe(member.heartbeat, member.id, member.health)),
		].toSorted((a, b) => a.id.localeCompare(b.id)),
		racks: (bundle?.racks ?? []).map(({name, workers}) => {
			const placements = racks.get(name)?.placements ?? [];
			return {
				rack: name,
				accelerators: workers.reduce((sum, worker) => sum + worker.accelerators, 0),
				used: placements.flatMap(({blocks}) => blocks).reduce((sum, block) => sum + block.count, 0),
				placements: placements.length,
			};
		}),
		queuedJobs: allJobs(context.replica).filter((job) => job.state === 'queued').length,
	};
};

const createCallerService = (context: Context, jobs: JobStore, views: JobViews): CallerService => ({
	bundle: () => bundleOf(context.replica),
	isAccepting: () => context.state() === 'live',
	submitJob: jobs.submit,
	findJob: views.get,
	listJobs: views.list,
	async cancelJob(customer, job) {
		if (!views.get(customer, job)) {
			return undefined;
		}

		await jobs.update(job, (record) => ({...record, cancelRequested: true}));
		return views.get(customer, job);
	},
});

const startLoops = (
	context: Context,
	jobs: JobStore,
	views: JobViews,
	links: WorkerLinks,
	wakeRacks: ReturnType<typeof createWaker>,
): void => {
	const {lifecycle, replica, membership, list} = context;
	const wakePlanner = createWaker();
	const refresh = () => {
		links.refresh();
		wakeRacks.wake();
		wakePlanner.wake();
	};

	let lastGeneration = 0;
	replica.events.on('changed', () => {
		const generation = bundleOf(replica)?.generation ?? 0;
		if (generation > lastGeneration) {
			lastGeneration = generation;
			context.log.info('configuration-in-force', {generation});
			links.refresh();
		}

		wakeRacks.wake();
		wakePlanner.wake();
	});
	membership.events.on('changed', refresh);
	list.events.on('changed', refresh);
	const workersDown = () => [
		...links.down(),
		...membership.members().flatMap(({heartbeat}) => heartbeat?.workersDown ?? []),
	];
	lifecycle.run('racks', async (signal) => runRackLoop({context, jobs, links}, wakeRacks, signal));
	lifecycle.run('planner', async (signal) =>
		runPlanner({context, jobs, workersDown, waker: wakePlanner, onReasons: views.setReasons}, signal),
	);
	refresh();
};

const followList = (context: Context, dispatcher: Dispatcher): void => {
	const take = (list: readonly ListedInstance[]) => {
		context.membership.applyList(list);
		dispatcher.setEndpoints(endpointsOf(list));
	};

	context.list.events.on('changed', (data) => {
		take(data);
	});
	take(context.list.current());
	context.lifecycle.run('instance-list', context.list.run);
};

/**
Starts one instance.

@example
```ts
const instance = await startInstance(settings, log);
process.once('SIGTERM', () => void instance.drain());
```

While neither the store nor a peer gives a first copy, the start waits.
*/
export const startInstance = async (settings: Settings, log: Log): Promise<Instance> => {
	const metrics = createMetrics();
	const lifecycle = createLifecycle(settings.id, (task, error, restartMs) => {
		log.warn('task-failed', {task, error: error.message, restartMs});
	});
	const status: Mutable = {state: 'starting', peerAddress: ''};
	const incarnation = Date.now();
	const wakeRacks = createWaker();
	const heartbeat = (): OwnHeartbeat => ({
		id: settings.id,
		incarnation,
		address: isWildcard(settings.peerHost) ? '' : status.peerAddress,
		state: status.state,
		generation: bundleOf(context.replica)?.generation ?? 0,
		revision: context.replica.revision(),
		availabilityZone: settings.availabilityZone,
		workersDown: links.down(),
	});
	const {context, replication} = createContext(settings, lifecycle, log, metrics, status, heartbeat);
	const configuration = createConfiguration(context);
	const links = createWorkerLinks(context, wakeRacks.wake);
	const jobs = createJobStore(context);
	const views = createJobViews(context, jobs);
	const dispatcher = createDispatcher({
		availabilityZone: settings.availabilityZone,
		lifecycle,
		metrics,
		slotsOf: (_endpoint, service) => service.slots,
		connectionsOf: (service) => service.connections,
	});
	const callerService = createCallerService(context, jobs, views);
	const drain = async () => {
		if (status.state === 'leaving') {
			return;
		}

		log.info('drain-started', {inProgress: dispatcher.inProgress()});
		status.state = 'leaving';
		await sleep(READINESS_LEAD_MS);
		const deadlineMs = Date.now() + settings.drainSeconds * 1000;
		while (dispatcher.inProgress() > 0 && Date.now() < deadlineMs) {
			await sleep(DRAIN_POLL_MS);
		}

		log.info('drain-ended', {inProgress: dispatcher.inProgress()});
		await lifecycle.close();
	};

	const operatorService: OperatorService = {
		authenticate: (authorization) => authenticateOperator(callerService, settings.bootstrapTokenSha256, authorization),
		bundle: () => bundleOf(context.replica),
		apply: configuration.apply,
		status: () => statusOf(context, heartbeat),
		explain: views.explain,
		async drain(instance) {
			if (instance === settings.id) {
				void drain();
				return;
			}

			await context.membership.link(instance)?.call('drain', {});
		},
	};

	try {
		status.peerAddress = await startPeerServer({
			host: settings.peerHost,
			port: settings.peerPort,
			handlers: {
				requests: {
					...replication.handlers.requests,
					heartbeat: (body) => context.membership.receive(body as HeartbeatMessage),
					'config.generation': (body) =>
						configuration.generation((body as Readonly<{generation: number}>).generation) ?? null,
					drain() {
						void drain();
						return {};
					},
				},
				events: replication.handlers.events,
			},
			lifecycle,
			log,
		});
		context.membership.events.on('superseded', () => {
			void drain();
		});
		try {
			await context.list.refresh();
		} catch (error) {
			log.warn('instance-list-failed', {error: String(error)});
		}

		followList(context, dispatcher);
		await replication.start();
		await replication.awaitGeneration(lifecycle.signal);
		startLoops(context, jobs, views, links, wakeRacks);
		const address = await startHttpServer({
			host: settings.host,
			port: settings.port,
			callerService,
			operatorService,
			dispatcher,
			isReady: () => status.state === 'live',
			metrics,
			log,
			lifecycle,
		});
		status.state = 'live';
		const {peerAddress} = status;
		log.info('instance-started', {address, peerAddress, availabilityZone: settings.availabilityZone});
		return {address, peerAddress, drain, close: async () => lifecycle.close()};
	} catch (error) {
		await lifecycle.close();
		throw error;
	}
};
