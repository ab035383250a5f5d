import {sleep, type Lifecycle} from '@bergamotgauge/lifecycle';
import {matchesSelector, type Service} from '@bergamotgauge/model';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import {createConnections, type Connections} from './connections.js';
import {DRAINING_HOLD_MS, FULL_PAUSE_MS, MAX_EJECTED_RATIO, PROBE_INTERVAL_MS} from './constants.js';
import {createEndpointHealth, type EndpointHealth} from './health.js';
import {acceptsConnections} from './probe.js';
import type {Endpoint, LeavingSign, Reservation} from './types.js';

export type TargetOptions = Readonly<{
	availabilityZone: string;
	lifecycle: Lifecycle;
	log: Log;
	metrics: Metrics;
	/** Slots of an endpoint that this instance may use now. */
	slotsOf: (endpoint: string, service: Service) => number;
	/** Called at the first sign that an endpoint leaves; not for what the list says or another instance told. */
	onLeaving?: (endpoint: string, sign: LeavingSign) => void;
}>;

/** An endpoint with its connections and the evidence on it. */
export type Target = {
	endpoint: Endpoint;
	readonly connections: Connections;
	readonly health: EndpointHealth;
	/** Last service that used the endpoint; its declared connections apply. */
	service: Service | undefined;
	used: number;
	pausedUntilMs: number;
	/** Set while the endpoint leaves by another sign than the list. */
	leaving: Readonly<{sign: LeavingSign; untilMs: number}> | undefined;
	isProbing: boolean;
};

/** What became of one try. */
export type TryOutcome = 'answered' | 'failed' | 'full' | 'draining' | 'no-evidence';

/** The endpoints that may get requests. */
export type Targets = Readonly<{
	set: (endpoints: readonly Endpoint[]) => void;
	get: (endpoint: string) => Target | undefined;
	reserve: (service: Service, tried?: ReadonlySet<string>) => Reservation | undefined;
	matching: (service: Service) => readonly Target[];
	isUsable: (target: Target) => boolean;
	record: (target: Target, service: Service, outcome: TryOutcome) => void;
	markLeaving: (endpoint: string, sign: LeavingSign, isFirstHand: boolean) => void;
	/** Checks whether the endpoint still accepts connections. */
	probe: (target: Target) => void;
	onFree: (listener: () => void) => void;
	refresh: () => void;
}>;

/**
Connections that go with a share of the slots. The parts of all instances add up to at most the declared connections.

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

	const announceFree = () => {
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

	const isFree = (target: Target, service: Service): boolean => {
		const {endpoint, used, health, pausedUntilMs} = target;
		const slots = slotsOf(endpoint.id, service);
		const limit = health.state() === 'probation' ? Math.min(1, slots) : slots;
		return used < limit && isUsable(target) && (pausedUntilMs === 0 || performance.now() >= pausedUntilMs);
	};

	const isBetter = (a: Target, b: Target): boolean => {
		const isNear = a.endpoint.availabilityZone === availabilityZone;
		return isNear === (b.endpoint.availabilityZone === availabilityZone) ? a.used < b.used : isNear;
	};

	const markLeaving = (id: string, sign: LeavingSign, isFirstHand: boolean) => {
		const target = targets.get(id);
		if (!target || target.leaving) {
			return;
		}

		target.leaving = {sign, untilMs: performance.now() + DRAINING_HOLD_MS};
		target.connections.closeIdle('all');
		log.info('endpoint-leaving', {endpoint: id, sign, firstHand: isFirstHand});
		metrics.count('endpoint_leaving_total', {sign});
		if (isFirstHand) {
			onLeaving?.(id, sign);
		}
	};

	const probeOnce = async (target: Target) => {
		target.isProbing = true;
		const isOpen = await acceptsConnections(target.endpoint.address);
		target.isProbing = false;
		if (!isOpen) {
			markLeaving(target.endpoint.id, 'closed', true);
		} else if (target.leaving?.sign === 'closed') {
			target.leaving = undefined;
			announceFree();
		}
	};

	const probe = (target: Target) => {
		if (!target.isProbing && targets.get(target.endpoint.id) === target) {
			void probeOnce(target);
		}
	};

	const open = (endpoint: Endpoint) => {
		const target: Target = {
			endpoint,
			health: createEndpointHealth(),
			service: undefined,
			used: 0,
			pausedUntilMs: 0,
			leaving: undefined,
			isProbing: false,
			connections: createConnections({
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

	const mayEject = (service: Service): boolean => {
		const all = matching(service);
		const ejected = all.filter(({health}) => health.state() === 'ejected').length;
		const cap = all.length < 2 ? 0 : Math.max(1, Math.floor(all.length * MAX_EJECTED_RATIO));
		return ejected < cap;
	};

	lifecycle.add('endpoint-connections', () => {
		for (const {connections} of targets.values()) {
			connections.close();
		}
	});
	lifecycle.run('endpoint-probes', async (signal) => {
		while (!signal.aborted) {
			await sleep(PROBE_INTERVAL_MS, signal);
			for (const target of targets.values()) {
				if (target.leaving?.sign === 'closed') {
					probe(target);
				} else if (target.leaving && performance.now() > target.leaving.untilMs) {
					target.leaving = undefined;
				}
			}

			// Pauses and ejections end by time.
			announceFree();
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
				// The comparison is cheaper than the look at shares and health, and rules most endpoints out.
				if ((!best || isBetter(target, best)) && isFree(target, service) && !tried?.has(target.endpoint.id)) {
					best = target;
				}
			}

			if (!best) {
				return undefined;
			}

			const target = best;
			target.used += 1;
			target.service = service;
			let isHeld = true;
			return {
				endpoint: target.endpoint.id,
				release() {
					if (isHeld) {
						isHeld = false;
						target.used -= 1;
						announceFree();
					}
				},
			};
		},
		record(target, service, outcome) {
			const {id} = target.endpoint;
			switch (outcome) {
				case 'answered': {
					target.health.succeed();
					break;
				}

				case 'draining': {
					markLeaving(id, 'draining', true);
					break;
				}

				case 'full': {
					target.pausedUntilMs = performance.now() + FULL_PAUSE_MS;
					metrics.count('endpoint_full_total');
					break;
				}

				case 'failed': {
					if (target.health.fail() && mayEject(service)) {
						target.health.eject();
						target.connections.closeIdle('all');
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
			for (const {connections} of targets.values()) {
				connections.closeIdle('excess');
			}

			announceFree();
		},
		set(endpoints) {
			const byId = new Map(endpoints.map((endpoint) => [endpoint.id, endpoint]));
			for (const [id, target] of targets) {
				const endpoint = byId.get(id);
				if (endpoint?.address === target.endpoint.address) {
					target.endpoint = endpoint;
				} else {
					targets.delete(id);
					// Requests in progress end on their own connection.
					target.connections.shut();
				}
			}

			for (const endpoint of endpoints) {
				if (!targets.has(endpoint.id)) {
					open(endpoint);
				}
			}

			matchingByService = new WeakMap();
			announceFree();
		},
	};
};
