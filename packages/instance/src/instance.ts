import {createRequestCounter, createAdmission, notAcceptingError} from '@bergamotgauge/caller';
import {createDispatcher, type Dispatcher, type Endpoint, type LeavingReason} from '@bergamotgauge/endpoint';
import {createLifecycle, sleep, type Lifecycle} from '@bergamotgauge/lifecycle';
import {ServiceError, type ListedInstance} from '@bergamotgauge/model';
import type {OperatorService} from '@bergamotgauge/operator';
import {
	createMembership,
	startPeerServer,
	type HeartbeatMessage,
	type MemberState,
	type OwnHeartbeat,
} from '@bergamotgauge/peer';
import {
	createInstanceList,
	createOperationHistory,
	createReplica,
	createStoreClient,
	INSTANCE_LIST_POLL_MS,
} from '@bergamotgauge/store';
import {createMetrics, type Log, type Metrics} from '@bergamotgauge/telemetry';
import {mergeBundle} from './bundle-merge.js';
import {createCallerService} from './caller-service.js';
import {createClaimService} from './claims-service.js';
import {createConfiguration} from './configuration.js';
import {bundleOf, type Context} from './context.js';
import {createDrain} from './drain.js';
import {createEngine} from './engine.js';
import {authenticateOperator, startHttpServer} from './http-server.js';
import {notifyAll} from './notify.js';
import {createReplication, type Replication} from './replication.js';
import {createSlotService, type SlotService} from './slots-service.js';
import {statusOf} from './status.js';
import type {Instance, Settings} from './types.js';

type RuntimeStatus = {state: MemberState; isReady: boolean; peerAddress: string};

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
	status: RuntimeStatus,
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
			replica.applyEntry(entry);
			replication.pushBundle(entry);
		},
	};
	const replication = createReplication(context, history);
	return {context, replication};
};

const pollInstanceList = async ({list, settings}: Context, slots: SlotService, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		await list.refresh();
		if (list.current().some(({role, id}) => role === 'instance' && id === settings.id)) {
			slots.confirmByList();
		}

		await sleep(INSTANCE_LIST_POLL_MS, signal);
	}
};

const followInstanceList = (context: Context, dispatcher: Dispatcher, slots: SlotService): void => {
	const applyList = (list: readonly ListedInstance[]) => {
		context.membership.applyList(list);
		dispatcher.setEndpoints(endpointsOf(list));
	};

	context.list.events.on('changed', (data) => {
		applyList(data);
	});
	applyList(context.list.current());
	context.lifecycle.run('instance-list', async (signal) => pollInstanceList(context, slots, signal));
};

/**
Starts one instance.

@example
```ts
const instance = await startInstance(settings, log);
process.once('SIGTERM', () => void instance.drain());
```

Startup waits until the store or a peer provides an initial snapshot.
*/
export const startInstance = async (settings: Settings, log: Log): Promise<Instance> => {
	const metrics = createMetrics();
	const lifecycle = createLifecycle(settings.id, (task, error, restartMs) => {
		log.warn('task-failed', {task, error: error.message, restartMs});
	});
	const status: RuntimeStatus = {state: 'starting', isReady: false, peerAddress: ''};
	const incarnation = Date.now();
	const heartbeat = (): OwnHeartbeat => ({
		id: settings.id,
		incarnation,
		address: isWildcard(settings.peerHost) ? '' : status.peerAddress,
		state: status.state,
		generation: bundleOf(context.replica)?.generation ?? 0,
		revision: context.replica.revision(),
		availabilityZone: settings.availabilityZone,
		workersDown: engine.links.down(),
	});
	const {context, replication} = createContext(settings, lifecycle, log, metrics, status, heartbeat);
	const configuration = createConfiguration(context);
	const engine = createEngine({context});
	const dispatcher = createDispatcher({
		availabilityZone: settings.availabilityZone,
		lifecycle,
		log,
		metrics,
		onLeaving(endpoint, reason) {
			notifyAll(context, 'endpoint.leaving', {endpoint, sign: reason});
		},
		slotsOf: (endpoint) => slots.limitOf(endpoint),
	});
	const admission = createAdmission({dispatcher, metrics});
	const slots = createSlotService({
		context,
		incarnation,
		slotsInUseOf: dispatcher.slotsInUse,
		takeDemand: admission.takeDemand,
		onChange: dispatcher.refresh,
	});
	const claims = createClaimService(context);
	const callerService = createCallerService({context, engine, claims, admission});
	const requestCounter = createRequestCounter(() => status.isReady);
	const drain = createDrain({
		log,
		drainMs: settings.drainSeconds * 1000,
		stopReadiness() {
			status.isReady = false;
		},
		stopAccepting() {
			status.state = 'leaving';
			admission.refuseAll(notAcceptingError());
		},
		inProgress: () => requestCounter.count() + claims.waitingFinishes(),
		handOver: slots.handOver,
		close: async () => lifecycle.close(),
	});

	const operatorService: OperatorService = {
		authenticate: (authorization) => authenticateOperator(callerService, settings.bootstrapTokenSha256, authorization),
		bundle: () => bundleOf(context.replica),
		apply: configuration.apply,
		status: (operator) => statusOf(context, heartbeat(), operator),
		explain: engine.views.explain,
		async drain(instance) {
			if (instance === settings.id) {
				void drain();
				return;
			}

			const link = context.membership.link(instance);
			if (!link) {
				throw new ServiceError(`no instance "${instance}" is a member`, {code: 'not-found', verdict: 'not-run'});
			}

			await link.call('drain', {});
		},
	};

	try {
		status.peerAddress = await startPeerServer({
			host: settings.peerHost,
			port: settings.peerPort,
			handlers: {
				requests: {
					...replication.handlers.requests,
					...claims.handlers,
					...slots.handlers.requests,
					heartbeat: (body) => context.membership.receive(body as HeartbeatMessage),
					'config.generation': (body) =>
						configuration.generation((body as Readonly<{generation: number}>).generation) ?? null,
					drain() {
						void drain();
						return {};
					},
				},
				events: {
					...replication.handlers.events,
					...slots.handlers.events,
					'endpoint.leaving'(body) {
						const {endpoint, sign: reason} = body as Readonly<{endpoint: string; sign: LeavingReason}>;
						dispatcher.markLeaving(endpoint, reason);
					},
				},
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

		followInstanceList(context, dispatcher, slots);
		await replication.start();
		await replication.awaitGeneration(lifecycle.signal);
		slots.start();
		engine.start();
		const address = await startHttpServer({
			host: settings.host,
			port: settings.port,
			callerService,
			operatorService,
			dispatcher,
			isReady: () => status.isReady,
			requestCounter,
			metrics,
			log,
			lifecycle,
		});
		status.state = 'live';
		status.isReady = true;
		const {peerAddress} = status;
		log.info('instance-started', {address, peerAddress, availabilityZone: settings.availabilityZone});
		return {address, peerAddress, drain, close: async () => lifecycle.close()};
	} catch (error) {
		await lifecycle.close();
		throw error;
	}
};
