import {createLifecycle, type Lifecycle} from '@bergamotgauge/lifecycle';
import {BUNDLE_KEY, ServiceError, type Bundle, type ListedInstance} from '@bergamotgauge/model';
import type {Heartbeat, Member, Membership, MemberState, PeerLink} from '@bergamotgauge/peer';
import {createReplica, type Entry, type InstanceList, type Replica} from '@bergamotgauge/store';
import {createMetrics, createSilentLog} from '@bergamotgauge/telemetry';
import Emittery from 'emittery';
import type {Context} from '../context.js';
import {createSlotService, type SlotService} from '../slots-service.js';
import {createFakeStore, type FakeStore} from './fake-store.js';

export const ENDPOINTS = Array.from({length: 6}, (_, index) => `e${index}`);
export const SLOTS = 8;

const BUNDLE = {
	generation: 1,
	services: [{name: 'listings', endpointSelector: {}, slots: SLOTS, connections: 60}],
} as unknown as Bundle;

/** One instance of the group, reduced to its slot service. */
export type Node = {
	readonly id: string;
	readonly incarnation: number;
	readonly slots: SlotService;
	readonly replica: Replica;
	readonly lifecycle: Lifecycle;
	readonly used: Map<string, number>;
	demand: number;
	state: MemberState;
	/** Blocks messages, store calls and confirmations by the instance list. */
	isPartitioned: boolean;
	isListed: boolean;
	lastSeenMs: number;
};

export type SlotGroup = Readonly<{
	store: FakeStore;
	nodes: Map<string, Node>;
	start: (id: string) => Node;
	kill: (id: string) => Promise<void>;
	/** Usable slots of an endpoint over all running instances. */
	usable: (endpoint: string) => number;
	/** When true, each instance considers itself the owner of every shard. */
	ownershipDispute: {value: boolean};
}>;

const partitionError = (): ServiceError =>
	new ServiceError('network partition', {code: 'store-unavailable', verdict: 'not-run', retryAfterMs: 1});

/** Instances in one process that share a store, with switchable faults. */
export const createSlotGroup = (): SlotGroup => {
	const store = createFakeStore();
	const nodes = new Map<string, Node>();
	const ownershipDispute = {value: false};

	const heartbeatOf = ({id, incarnation, state}: Node): Heartbeat => ({
		id,
		incarnation,
		beat: 0,
		address: '',
		state,
		generation: 1,
		revision: 0,
		availabilityZone: 'a',
		workersDown: [],
	});

	const memberOf = (node: Node): Member => ({
		id: node.id,
		address: '',
		health: Date.now() - node.lastSeenMs < 3000 ? 'alive' : 'dead',
		heartbeat: heartbeatOf(node),
		lastSeenMs: node.lastSeenMs,
	});

	const createMembership = (self: () => Node): Membership => {
		const others = () => [...nodes.values()].filter(({id}) => id !== self().id);
		return {
			owners: () =>
				ownershipDispute.value
					? [self().id]
					: [...nodes.values()].filter(({isPartitioned}) => !isPartitioned).map(({id}) => id),
			members: () => others().map((node) => memberOf(node)),
			link(id) {
				const link: Pick<PeerLink, 'call' | 'notify'> = {
					async call(method, body) {
						const peer = nodes.get(id);
						if (!peer || peer.isPartitioned || self().isPartitioned) {
							throw partitionError();
						}

						return peer.slots.handlers.requests[method]!(body, '');
					},
					notify(method, body) {
						const peer = nodes.get(id);
						if (peer && !peer.isPartitioned && !self().isPartitioned) {
							peer.slots.handlers.events[method]!(body);
						}
					},
				};
				return link as PeerLink;
			},
			applyList: () => undefined,
			receive: () => ({...heartbeatOf(self()), updates: []}),
			events: new Emittery(),
		};
	};

	const listed = (): readonly ListedInstance[] => [
		...ENDPOINTS.map(
			(id) => ({id, role: 'endpoint', address: '', availabilityZone: 'a', state: 'live', labels: {}}) as const,
		),
		...[...nodes.values()]
			.filter(({isListed}) => isListed)
			.map(({id}) => ({id, role: 'instance', address: '', availabilityZone: 'a', state: 'live', labels: {}}) as const),
	];

	const start = (id: string): Node => {
		const replica = createReplica();
		const lifecycle = createLifecycle(id);
		const used = new Map<string, number>();
		const incarnation = Date.now();
		const self = () => node;
		const list: InstanceList = {current: listed, async refresh() {}, async run() {}, events: new Emittery()};
		const unlessPartitioned = async <Result>(work: () => Promise<Result>): Promise<Result> => {
			if (node.isPartitioned) {
				throw partitionError();
			}

			return work();
		};

		const context = {
			settings: {id},
			lifecycle,
			log: createSilentLog(),
			metrics: createMetrics(),
			store: {
				...store,
				put: async (key: string, value: unknown, revision: number) =>
					unlessPartitioned(async () => store.put(key, value, revision)),
				list: async (prefix: string) => unlessPartitioned(async () => store.list(prefix)),
			},
			replica,
			list,
			membership: createMembership(self),
			state: () => node.state,
			publish(entry: Entry<unknown>) {
				for (const peer of nodes.values()) {
					if (peer === node || (!peer.isPartitioned && !node.isPartitioned)) {
						peer.replica.applyEntry(entry);
					}
				}
			},
		} as unknown as Context;
		const slots = createSlotService({
			context,
			incarnation,
			slotsInUseOf: (endpoint) => used.get(endpoint) ?? 0,
			takeDemand: () => new Map([['listings', node.demand]]),
			onChange: () => undefined,
		});
		const node: Node = {
			id,
			incarnation,
			slots,
			replica,
			lifecycle,
			used,
			demand: 0,
			state: 'live',
			isPartitioned: false,
			isListed: true,
			lastSeenMs: Date.now(),
		};
		replica.applyEntry({key: BUNDLE_KEY, revision: 1, value: BUNDLE});
		nodes.set(id, node);
		slots.start();
		// Simulates the heartbeats and the polls of the instance list.
		lifecycle.run('confirm', async (signal) => {
			const timer = setInterval(() => {
				if (!node.isPartitioned) {
					node.lastSeenMs = Date.now();
					if (node.isListed) {
						slots.confirmByList();
					}
				}
			}, 500);
			await new Promise<void>((resolve) => {
				signal.addEventListener('abort', () => {
					clearInterval(timer);
					resolve();
				});
			});
		});
		return node;
	};

	return {
		store,
		nodes,
		start,
		async kill(id) {
			const node = nodes.get(id)!;
			nodes.delete(id);
			await node.lifecycle.close();
		},
		usable: (endpoint) => [...nodes.values()].reduce((sum, {slots}) => sum + slots.limitOf(endpoint), 0),
		ownershipDispute,
	};
};
