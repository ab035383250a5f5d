import type {Lifecycle} from '@bergamotgauge/lifecycle';
import {matchesSelector, ServiceError, type Service} from '@bergamotgauge/model';
import type {Metrics} from '@bergamotgauge/telemetry';
import {createConnections, type Connections} from './connections.js';
import {MAX_TRIES, NO_ENDPOINT_RETRY_AFTER_MS} from './constants.js';
import {exchange} from './exchange.js';
import type {Dispatcher, Endpoint, EndpointAnswer, EndpointRequest, Reservation} from './types.js';

export type DispatcherOptions = Readonly<{
	availabilityZone: string;
	lifecycle: Lifecycle;
	metrics: Metrics;
	/** Slots of an endpoint that this instance may use now. */
	slotsOf: (endpoint: string, service: Service) => number;
}>;

type Target = {
	endpoint: Endpoint;
	readonly connections: Connections;
	/** Last service that used the endpoint; its declared connections apply. */
	service: Service | undefined;
	used: number;
};

const noEndpoint = (service: Service, reason: string): ServiceError =>
	new ServiceError(`service ${service.name}: ${reason}`, {
		code: 'no-endpoint',
		verdict: 'not-run',
		retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS,
	});

const mayRetry = (error: ServiceError, request: EndpointRequest): boolean =>
	error.verdict === 'not-run' || (error.verdict === 'may-have-run' && request.retryRule === 'idempotent');

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
Creates the sender of requests to endpoints.

@example
```ts
const dispatcher = createDispatcher({availabilityZone: 'a', lifecycle, metrics, slotsOf});
const reservation = dispatcher.reserve(service);
const answer = await dispatcher.dispatch(request, signal, reservation);
```
*/
export const createDispatcher = (options: DispatcherOptions): Dispatcher => {
	const {availabilityZone, lifecycle, metrics, slotsOf} = options;
	const targets = new Map<string, Target>();
	const freeListeners = new Set<() => void>();
	let matching = new WeakMap<Service, readonly Target[]>();
	let inProgress = 0;

	lifecycle.add('endpoint-connections', () => {
		for (const {connections} of targets.values()) {
			connections.close();
		}
	});

	const announceFree = () => {
		for (const listener of freeListeners) {
			listener();
		}
	};

	const matchingTargets = (service: Service): readonly Target[] => {
		let found = matching.get(service);
		if (!found) {
			found = [...targets.values()].filter(({endpoint}) => matchesSelector(service.endpointSelector, endpoint.labels));
			matching.set(service, found);
		}

		return found;
	};

	const isBetter = (a: Target, b: Target): boolean => {
		const isNear = a.endpoint.availabilityZone === availabilityZone;
		return isNear === (b.endpoint.availabilityZone === availabilityZone) ? a.used < b.used : isNear;
	};

	const reserve = (service: Service, tried?: ReadonlySet<string>): Reservation | undefined => {
		let best: Target | undefined;
		for (const target of matchingTargets(service)) {
			const {endpoint, used} = target;
			const isFree = !endpoint.isLeaving && !tried?.has(endpoint.id) && used < slotsOf(endpoint.id, service);
			if (isFree && (!best || isBetter(target, best))) {
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
	};

	const tryOnce = async (endpoint: string, request: EndpointRequest, startedMs: number, signal: AbortSignal) => {
		const limitMs = request.deadlineMs - (performance.now() - startedMs);
		if (limitMs <= 0) {
			throw new ServiceError('the deadline has passed', {code: 'deadline-exceeded', verdict: 'not-run'});
		}

		const target = targets.get(endpoint);
		const connection = target?.connections.take();
		if (!target || !connection) {
			throw noEndpoint(request.service, `no connection to ${endpoint} is free`);
		}

		try {
			const answer = await exchange(connection.client, endpoint, request, Math.round(limitMs), signal);
			target.connections.give(connection);
			return answer;
		} catch (error) {
			if (error instanceof ServiceError && error.verdict === 'not-run' && error.status === 503) {
				target.connections.give(connection);
			} else {
				target.connections.retire(connection);
			}

			throw error;
		}
	};

	const dispatch = async (
		request: EndpointRequest,
		signal: AbortSignal,
		first: Reservation | undefined,
	): Promise<EndpointAnswer> => {
		const startedMs = performance.now();
		const tried = new Set<string>();
		let last: ServiceError | undefined;
		let reservation = first ?? reserve(request.service);
		while (reservation) {
			try {
				tried.add(reservation.endpoint);
				return await tryOnce(reservation.endpoint, request, startedMs, signal);
			} catch (error) {
				if (!(error instanceof ServiceError)) {
					throw error;
				}

				// An earlier try that may have run decides the verdict of the whole request.
				last = last?.verdict === 'may-have-run' && error.verdict === 'not-run' ? last : error;
				if (signal.aborted || tried.size >= MAX_TRIES || !mayRetry(error, request)) {
					throw last;
				}
			} finally {
				reservation.release();
			}

			reservation = reserve(request.service, tried);
			if (reservation) {
				metrics.count('endpoint_retries_total', {service: request.service.name});
			}
		}

		throw last ?? noEndpoint(request.service, 'no endpoint has a free slot');
	};

	const open = (endpoint: Endpoint) => {
		const target: Target = {
			endpoint,
			service: undefined,
			used: 0,
			connections: createConnections({
				address: endpoint.address,
				limit: () => (target.service ? connectionShare(slotsOf(endpoint.id, target.service), target.service) : 0),
				onClosed() {
					metrics.count('endpoint_connections_closed_total');
				},
			}),
		};
		targets.set(endpoint.id, target);
	};

	return {
		inProgress: () => inProgress,
		used: (endpoint) => targets.get(endpoint)?.used ?? 0,
		usedBy: (service) => matchingTargets(service).reduce((sum, {used}) => sum + used, 0),
		hasEndpoint: (service) => matchingTargets(service).some(({endpoint}) => !endpoint.isLeaving),
		reserve,
		onFree(listener) {
			freeListeners.add(listener);
		},
		refresh() {
			for (const {connections} of targets.values()) {
				connections.closeIdle('excess');
			}

			announceFree();
		},
		setEndpoints(endpoints) {
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

			matching = new WeakMap();
			announceFree();
		},
		async dispatch(request, signal, reservation) {
			const startedMs = performance.now();
			inProgress += 1;
			try {
				return await dispatch(request, signal, reservation);
			} finally {
				inProgress -= 1;
				metrics.observe('endpoint_request_milliseconds', performance.now() - startedMs, {
					customer: request.customer,
					class: request.requestClass,
				});
			}
		},
	};
};
