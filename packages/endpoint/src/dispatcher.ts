import type {Lifecycle} from '@bergamotgauge/lifecycle';
import {matchesSelector, ServiceError, type Service} from '@bergamotgauge/model';
import type {Metrics} from '@bergamotgauge/telemetry';
import {Pool} from 'undici';
import {MAX_TRIES, NO_ENDPOINT_RETRY_AFTER_MS} from './constants.js';
import {exchange} from './exchange.js';
import type {Dispatcher, Endpoint, EndpointAnswer, EndpointRequest} from './types.js';

export type DispatcherOptions = Readonly<{
	availabilityZone: string;
	lifecycle: Lifecycle;
	metrics: Metrics;
	/** Slots of an endpoint that this instance may use now. */
	slotsOf: (endpoint: string, service: Service) => number;
	connectionsOf: (service: Service) => number;
}>;

type Target = {
	endpoint: Endpoint;
	readonly pool: Pool;
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
Creates the sender of requests to endpoints.

@example
```ts
const dispatcher = createDispatcher({availabilityZone: 'a', lifecycle, metrics, slotsOf, connectionsOf});
const answer = await dispatcher.dispatch(request, signal);
```
*/
export const createDispatcher = (options: DispatcherOptions): Dispatcher => {
	const {availabilityZone, lifecycle, metrics, slotsOf, connectionsOf} = options;
	const targets = new Map<string, Target>();
	let inProgress = 0;

	lifecycle.add('endpoint-pools', async () => {
		await Promise.all([...targets.values()].map(async ({pool}) => pool.destroy()));
	});

	const pick = (request: EndpointRequest, tried: ReadonlySet<string>): Target => {
		const {service} = request;
		const matching = [...targets.values()].filter(
			({endpoint}) => !endpoint.isLeaving && matchesSelector(service.endpointSelector, endpoint.labels),
		);
		if (matching.length === 0) {
			throw noEndpoint(service, 'no live endpoint matches its selector');
		}

		const free = matching.filter(({endpoint, used}) => !tried.has(endpoint.id) && used < slotsOf(endpoint.id, service));
		const [best] = free.toSorted(
			(a, b) =>
				Number(b.endpoint.availabilityZone === availabilityZone) -
					Number(a.endpoint.availabilityZone === availabilityZone) || a.used - b.used,
		);
		if (!best) {
			throw noEndpoint(service, 'all slots are in use');
		}

		return best;
	};

	const tryOnce = async (target: Target, request: EndpointRequest, startedMs: number, signal: AbortSignal) => {
		const limitMs = request.deadlineMs - (performance.now() - startedMs);
		if (limitMs <= 0) {
			throw new ServiceError('the deadline has passed', {code: 'deadline-exceeded', verdict: 'not-run'});
		}

		target.used += 1;
		try {
			return await exchange(target.pool, target.endpoint.id, request, Math.round(limitMs), signal);
		} finally {
			target.used -= 1;
		}
	};

	const dispatch = async (request: EndpointRequest, signal: AbortSignal): Promise<EndpointAnswer> => {
		const startedMs = performance.now();
		const tried = new Set<string>();
		let last: ServiceError | undefined;
		while (tried.size < MAX_TRIES) {
			try {
				const target = pick(request, tried);
				tried.add(target.endpoint.id);
				return await tryOnce(target, request, startedMs, signal);
			} catch (error) {
				if (!(error instanceof ServiceError)) {
					throw error;
				}

				// An earlier try that may have run decides the verdict of the whole request.
				const worst = last?.verdict === 'may-have-run' && error.verdict === 'not-run' ? last : error;
				if (signal.aborted || error.code === 'no-endpoint' || !mayRetry(error, request)) {
					throw worst;
				}

				metrics.count('endpoint_retries_total', {service: request.service.name});
				last = worst;
			}
		}

		throw last ?? noEndpoint(request.service, 'no endpoint took the request');
	};

	return {
		inProgress: () => inProgress,
		setEndpoints(endpoints) {
			const byId = new Map(endpoints.map((endpoint) => [endpoint.id, endpoint]));
			for (const [id, target] of targets) {
				const endpoint = byId.get(id);
				if (endpoint?.address === target.endpoint.address) {
					target.endpoint = endpoint;
				} else {
					targets.delete(id);
					void target.pool.close();
				}
			}

			for (const endpoint of endpoints) {
				if (!targets.has(endpoint.id)) {
					const pool = new Pool(`http://${endpoint.address}`, {connections: 60, pipelining: 1});
					targets.set(endpoint.id, {endpoint, pool, used: 0});
				}
			}
		},
		async dispatch(request, signal) {
			const startedMs = performance.now();
			inProgress += 1;
			try {
				return await dispatch(request, signal);
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
