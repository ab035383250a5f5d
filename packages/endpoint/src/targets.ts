import {sleep, type Lifecycle} from '@bergamotgauge/lifecycle';
import {matchesSelector, type Service} from '@bergamotgauge/model';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {createConnectionPool, type ConnectionPool} from './connections.js';
import {DRAINING_EXCLUSION_MS, FULL_BACKOFF_MS, MAX_EJECTED_RATIO, PROBE_INTERVAL_MS} from './constants.js';
import {createEndpointHealth, type EndpointHealth} from './health.js';
import {acceptsConnections} from './probe.js';
import type {Endpoint, LeavingReason, Reservation} from './types.js';

export type TargetOptions = Readonly<{
	availabilityZone: string;
	lifecycle: Lifecycle;
	log: Log;
	metrics: Metrics;
	/** Slots of an endpoint that are currently allocated to this instance. */
	slotsOf: (endpoint: string, service: Service) => number;
	/** Called when this instance itself detects that an endpoint is leaving, not when the instance list or another instance reports it. */
	onLeaving?: (endpoint: string, reason: LeavingReason) => void;
}>;

/** An endpoint with its connection pool and health. */
export type Target = {
	endpoint: Endpoint;
	readonly connectionPool: ConnectionPool;
	readonly health: EndpointHealth;
	/** Last service that used the endpoint; its declared `connections` limit the pool. */
	service: Service | undefined;
	slotsInUse: number;
	pausedUntilMs: number;
	/** Set while the endpoint is leaving according to a source other than the instance list. */
	leaving: Readonly<{reason: LeavingReason; untilMs: number}> | undefined;
	isProbing: boolean;
};

/** Outcome of one attempt. `no-evidence` counts neither for nor against the health of the endpoint. */
export type AttemptOutcome = 'answered' | 'failed' | 'full' | 'draining' | 'no-evidence';

/** The endpoints to which requests are dispatched. */
export type Targets = Readonly<{
	set: (endpoints: readonly Endpoint[]) => void;
	get: (endpoint: string) => Target | undefined;
	reserve: (service: Service, tried?: ReadonlySet<string>) => Reservation | undefined;
	matching: (service: Service) => readonly Target[];
	isUsable: (target: Target) => boolean;
	record: (target: Target, service: Service, outcome: AttemptOutcome) => void;
	markLeaving: (endpoint: string, reason: LeavingReason, isDetectedLocally: boolean) => void;
	/** Checks whether the endpoint still accepts connections. */
	probe: (target: Target) => void;
	onFree: (listener: () => void) => void;
	refresh: () => void;
}>;

/**
Connections that an instance may open for its share of the slots. Over all instances they add up to at most the declared connections.

@example
```ts
connectionShare(2, {slots: 8, connections: 60}); // 15
```
*/
export const connectionShare = (share: number, {slots, connections}: Pick<Service, 'slots' | 'connections'>): number =>
	Math.max(share, Math.floor((share * connections) / slots));

/**
Creates the set of endpoints of one instance.

@example
```ts
const targets = createTargets({availabilityZone: 'a', lifecycle, log, metrics, slotsOf});
targets.set(endpoints);
```
*/
export const createTargets = (options: TargetOptions): Targets => {
	const {availabilityZone, lifecycle, log, metrics, slotsOf, onLeaving} = options;
	const targets = new Map<string, Target>();
	const freeListeners = new Set<() => void>();
	let matchingByService = new WeakMap<Service, readonly Target[]>();

	const notifyFree = () => {
		for (const listener of freeListeners) {
			listener();
		}
	};

	const matching = (service: Service): readonly Target[] => {
		let found = matchingByService.get(service);
		if (!found) {
			found = [...targets.values()].filter(({endpoint}) => matchesSelector(service.endpointSelector, endpoint.labels));
			matchingByService.set(service, found);
		}

		return found;
	};

	const isUsable = ({endpoint, leaving, health}: Target): boolean =>
		!endpoint.isLeaving && leaving === undefined && health.state() !== 'ejected';

	const hasFreeSlot = (target: Target, service: Service): boolean => {
		const {endpoint, slotsInUse, health, pausedUntilMs} = target;
		const slots = slotsOf(endpoint.id, service);
		const limit = health.state() === 'probation' ? Math.min(1, slots) : slots;
		return slotsInUse < limit && isUsable(target) && (pausedUntilMs === 0 || performance.now() >= pausedUntilMs);
	};

	const isPreferred = (a: Target, b: Target): boolean => {
		const isLocal = a.endpoint.availabilityZone === availabilityZone;
		return isLocal === (b.endpoint.availabilityZone === availabilityZone) ? a.slotsInUse < b.slotsInUse : isLocal;
	};

	const markLeaving = (id: string, reason: LeavingReason, isDetectedLocally: boolean) => {
		const target = targets.get(id);
		if (!target || target.leaving) {
			return;
		}

		target.leaving = {reason, untilMs: performance.now() + DRAINING_EXCLUSION_MS};
		target.connectionPool.closeIdle('all');
		log.info('endpoint-leaving', {endpoint: id, sign: reason, firstHand: isDetectedLocally});
		metrics.count('endpoint_leaving_total', {sign: reason});
		if (isDetectedLocally) {
			onLeaving?.(id, reason);
		}
	};

	const probeOnce = async (target: Target) => {
		target.isProbing = true;
		const isOpen = await acceptsConnections(target.endpoint.address);
		target.isProbing = false;
		if (!isOpen) {
			markLeaving(target.endpoint.id, 'closed', true);
		} else if (target.leaving?.reason === 'closed') {
			target.leaving = undefined;
			notifyFree();
		}
	};

	const probe = (target: Target) => {
		if (!target.isProbing && targets.get(target.endpoint.id) === target) {
			void probeOnce(target);
		}
	};

	const addTarget = (endpoint: Endpoint) => {
		const target: Target = {
			endpoint,
			health: createEndpointHealth(),
			service: undefined,
			slotsInUse: 0,
			pausedUntilMs: 0,
			leaving: undefined,
			isProbing: false,
			connectionPool: createConnectionPool({
				address: endpoint.address,
				limit: () => (target.service ? connectionShare(slotsOf(endpoint.id, target.service), target.service) : 0),
				onClosed() {
					metrics.count('endpoint_connections_closed_total');
					probe(target);
				},
			}),
		};
		targets.set(endpoint.id, target);
	};

	const canEject = (service: Service): boolean => {
		const all = matching(service);
		const ejected = all.filter(({health}) => health.state() === 'ejected').length;
		const maxEjected = all.length < 2 ? 0 : Math.max(1, Math.floor(all.length * MAX_EJECTED_RATIO));
		return ejected < maxEjected;
	};

	lifecycle.add('endpoint-connections', () => {
		for (const {connectionPool} of targets.values()) {
			connectionPool.close();
		}
	});
	lifecycle.run('endpoint-probes', async (signal) => {
		while (!signal.aborted) {
			await sleep(PROBE_INTERVAL_MS, signal);
			for (const target of targets.values()) {
				if (target.leaving?.reason === 'closed') {
					probe(target);
				} else if (target.leaving && performance.now() > target.leaving.untilMs) {
					target.leaving = undefined;
				}
			}

			// Backoffs and ejections expire without an event of their own.
			notifyFree();
		}
	});

	return {
		get: (endpoint) => targets.get(endpoint),
		matching,
		isUsable,
		markLeaving,
		probe,
		reserve(service, tried) {
			let best: Target | undefined;
			for (const target of matching(service)) {
				// The comparison comes first: it is cheaper than checking shares and health, and excludes most endpoints.
				if ((!best || isPreferred(target, best)) && hasFreeSlot(target, service) && !tried?.has(target.endpoint.id)) {
					best = target;
				}
			}

			if (!best) {
				return undefined;
			}

			const target = best;
			target.slotsInUse += 1;
			target.service = service;
			let isHeld = true;
			return {
				endpoint: target.endpoint.id,
				release() {
					if (isHeld) {
						isHeld = false;
						target.slotsInUse -= 1;
						notifyFree();
					}
				},
			};
		},
		record(target, service, outcome) {
			const {id} = target.endpoint;
			switch (outcome) {
				case 'answered': {
					target.health.recordSuccess();
					break;
				}

				case 'draining': {
					markLeaving(id, 'draining', true);
					break;
				}

				case 'full': {
					target.pausedUntilMs = performance.now() + FULL_BACKOFF_MS;
					metrics.count('endpoint_full_total');
					break;
				}

				case 'failed': {
					if (target.health.recordFailure() && canEject(service)) {
						target.health.eject();
						target.connectionPool.closeIdle('all');
						log.warn('endpoint-ejected', {endpoint: id, service: service.name});
						metrics.count('endpoint_ejections_total', {service: service.name});
					}

					break;
				}

				case 'no-evidence': {
					break;
				}
			}
		},
		onFree(listener) {
			freeListeners.add(listener);
		},
		refresh() {
			for (const {connectionPool} of targets.values()) {
				connectionPool.closeIdle('excess');
			}

			notifyFree();
		},
		set(endpoints) {
			const byId = new Map(endpoints.map((endpoint) => [endpoint.id, endpoint]));
			for (const [id, target] of targets) {
				const endpoint = byId.get(id);
				if (endpoint?.address === target.endpoint.address) {
					target.endpoint = endpoint;
				} else {
					targets.delete(id);
					// Requests in progress complete on their connections.
					target.connectionPool.drain();
				}
			}

			for (const endpoint of endpoints) {
				if (!targets.has(endpoint.id)) {
					addTarget(endpoint);
				}
			}

			matchingByService = new WeakMap();
			notifyFree();
		},
	};
};
