import {ServiceError, toServiceError, type Service} from '@bergamotgauge/model';
import type {Connection} from './connections.js';
import {
	ATTEMPT_RUN_TIMES,
	MAX_TRIES,
	MIN_ATTEMPT_MS,
	MIN_EVIDENCE_MS,
	NO_ENDPOINT_RETRY_AFTER_MS,
	RUN_TIME_SMOOTHING,
} from './constants.js';
import {exchange} from './exchange.js';
import {createRetryBudget} from './retry-budget.js';
import {createTargets, type Target, type TargetOptions, type TryOutcome} from './targets.js';
import type {Dispatcher, EndpointAnswer, EndpointRequest, Reservation} from './types.js';

export type DispatcherOptions = TargetOptions;

type Try =
	| Readonly<{answer: EndpointAnswer}>
	/** A failed try with the slot for the next one, if one is held already. */
	| Readonly<{error: ServiceError; next: Reservation | undefined}>;

const noEndpoint = (service: Service, reason: string): ServiceError =>
	new ServiceError(`service ${service.name}: ${reason}`, {
		code: 'no-endpoint',
		verdict: 'not-run',
		retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS,
	});

const mayRetry = (error: ServiceError, request: EndpointRequest): boolean =>
	error.verdict === 'not-run' || (error.verdict === 'may-have-run' && request.retryRule === 'idempotent');

const noAnswer = (endpoint: string): ServiceError =>
	new ServiceError(`endpoint ${endpoint} gave no answer in time`, {
		code: 'endpoint-failed',
		verdict: 'may-have-run',
		details: {timedOut: true},
	});

const isRefusal = (error: ServiceError): boolean => error.verdict === 'not-run' && error.status === 503;

const outcomeOf = (error: ServiceError, tookMs: number): TryOutcome => {
	if (isRefusal(error)) {
		return error.details.draining === true ? 'draining' : 'full';
	}

	const isCut = error.code === 'endpoint-failed' && error.details.timedOut !== true;
	return error.code !== 'cancelled' && (isCut || tookMs >= MIN_EVIDENCE_MS) ? 'failed' : 'no-evidence';
};

/**
Creates the sender of requests to endpoints.

@example
```ts
const dispatcher = createDispatcher({availabilityZone: 'a', lifecycle, log, metrics, slotsOf});
const reservation = dispatcher.reserve(service);
const answer = await dispatcher.dispatch(request, signal, reservation);
```
*/
export const createDispatcher = (options: DispatcherOptions): Dispatcher => {
	const {metrics, log} = options;
	const targets = createTargets(options);
	const budget = createRetryBudget();
	const meanRunMs = new Map<string, number>();
	let inProgress = 0;

	const noteRun = (request: EndpointRequest, tookMs: number) => {
		const name = `${request.service.name}/${request.requestClass}`;
		const mean = meanRunMs.get(name) ?? tookMs;
		meanRunMs.set(name, mean + (tookMs - mean) * RUN_TIME_SMOOTHING);
	};

	/** Time after which the answer to an idempotent request is looked for elsewhere. */
	const softLimitMs = (request: EndpointRequest): number =>
		Math.max(
			MIN_ATTEMPT_MS,
			(meanRunMs.get(`${request.service.name}/${request.requestClass}`) ?? 0) * ATTEMPT_RUN_TIMES,
		);

	/** Holds a slot for a retry within the budget. */
	const reserveRetry = (request: EndpointRequest, tried: ReadonlySet<string>): Reservation | undefined => {
		const reservation = tried.size < MAX_TRIES ? targets.reserve(request.service, tried) : undefined;
		if (!reservation) {
			return undefined;
		}

		if (!budget.take()) {
			reservation.release();
			metrics.count('endpoint_retries_refused_total', {service: request.service.name});
			return undefined;
		}

		metrics.count('endpoint_retries_total', {service: request.service.name});
		return reservation;
	};

	const fail = (target: Target, connection: Connection, request: EndpointRequest, error: ServiceError) => {
		if (isRefusal(error)) {
			target.connections.give(connection);
			return;
		}

		target.connections.retire(connection);
		metrics.count('endpoint_connections_retired_total', {service: request.service.name});
		if (error.details.timedOut === true) {
			// Connections of the same age may be silent as well.
			target.connections.closeIdle('all');
			log.warn('connection-silent', {endpoint: target.endpoint.id, request: request.id});
		}

		if (error.code !== 'cancelled') {
			targets.probe(target);
		}
	};

	const tryOnce = async (
		endpoint: string,
		request: EndpointRequest,
		leftMs: number,
		signal: AbortSignal,
	): Promise<EndpointAnswer> => {
		if (leftMs <= 0) {
			throw new ServiceError('the deadline has passed', {code: 'deadline-exceeded', verdict: 'not-run'});
		}

		const target = targets.get(endpoint);
		const connection = target?.connections.take();
		if (!target || !connection) {
			throw noEndpoint(request.service, `no connection to ${endpoint} is free`);
		}

		const startedMs = performance.now();
		try {
			const answer = await exchange({connection, endpoint, request, limitMs: Math.round(leftMs), signal});
			noteRun(request, performance.now() - startedMs);
			targets.record(target, request.service, 'answered');
			target.connections.give(connection);
			if (answer.headers.connection === 'close') {
				targets.probe(target);
			}

			return answer;
		} catch (error) {
			if (error instanceof ServiceError) {
				const tookMs = performance.now() - startedMs;
				if (error.details.timedOut === true) {
					noteRun(request, tookMs);
				}

				fail(target, connection, request, error);
				targets.record(target, request.service, outcomeOf(error, tookMs));
			} else {
				target.connections.retire(connection);
			}

			throw error;
		}
	};

	/** Makes one try and, when its answer takes too long, holds a slot for the next one. The try goes on while no other endpoint can take the request. */
	const tryUntilLate = async (
		reservation: Reservation,
		request: EndpointRequest,
		{leftMs, tried}: Readonly<{leftMs: number; tried: ReadonlySet<string>}>,
		signal: AbortSignal,
	): Promise<Try> => {
		const attempt = new AbortController();
		const abort = () => {
			attempt.abort(signal.reason);
		};

		let next: Reservation | undefined;
		const softMs = softLimitMs(request);
		const softTimer = setTimeout(() => {
			const isUseful = request.retryRule === 'idempotent' && leftMs - softMs > MIN_ATTEMPT_MS / 2;
			next = isUseful ? reserveRetry(request, tried) : undefined;
			if (next) {
				attempt.abort(noAnswer(reservation.endpoint));
			}
		}, softMs);
		signal.addEventListener('abort', abort, {once: true});
		try {
			if (signal.aborted) {
				abort();
			}

			const answer = await tryOnce(reservation.endpoint, request, leftMs, attempt.signal);
			next?.release();
			return {answer};
		} catch (error) {
			return {error: toServiceError(error, 'may-have-run'), next};
		} finally {
			clearTimeout(softTimer);
			signal.removeEventListener('abort', abort);
			reservation.release();
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
		let next = first ?? targets.reserve(request.service);
		budget.earn();
		while (next) {
			tried.add(next.endpoint);
			const leftMs = request.deadlineMs - (performance.now() - startedMs);
			const result: Try = await tryUntilLate(next, request, {leftMs, tried}, signal);
			if ('answer' in result) {
				return result.answer;
			}

			const {error} = result;
			// An earlier try that may have run decides the verdict of the whole request.
			last = last?.verdict === 'may-have-run' && error.verdict === 'not-run' ? last : error;
			if (signal.aborted || !mayRetry(error, request)) {
				result.next?.release();
				throw last;
			}

			next = result.next ?? reserveRetry(request, tried);
		}

		throw last ?? noEndpoint(request.service, 'no endpoint has a free slot');
	};

	return {
		inProgress: () => inProgress,
		used: (endpoint) => targets.get(endpoint)?.used ?? 0,
		usedBy: (service) => targets.matching(service).reduce((sum, {used}) => sum + used, 0),
		hasEndpoint: (service) => targets.matching(service).some((target) => targets.isUsable(target)),
		reserve: (service) => targets.reserve(service),
		onFree: targets.onFree,
		refresh: targets.refresh,
		setEndpoints: targets.set,
		markLeaving(endpoint, sign) {
			targets.markLeaving(endpoint, sign, false);
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
