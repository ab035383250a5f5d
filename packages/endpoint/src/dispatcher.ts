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

const noAnswer = (endpoint: string, code: 'endpoint-failed' | 'deadline-exceeded'): ServiceError =>
	new ServiceError(`endpoint ${endpoint} gave no answer in time`, {
		code,
		verdict: 'may-have-run',
		details: {timedOut: true},
	});

const notSent = (service: Service, endpoint: string, leftMs: number, signal: AbortSignal): ServiceError => {
	if (signal.aborted) {
		return new ServiceError('the caller went away', {code: 'cancelled', verdict: 'not-run'});
	}

	return leftMs > 0
		? noEndpoint(service, `no connection to ${endpoint} is free`)
		: new ServiceError('the deadline has passed', {code: 'deadline-exceeded', verdict: 'not-run'});
};

type Failed = Readonly<{error: ServiceError; tookMs: number}>;

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

	const settleAnswer = (target: Target, connection: Connection, request: EndpointRequest, answer: EndpointAnswer) => {
		targets.record(target, request.service, 'answered');
		target.connections.give(connection);
		if (answer.headers.connection === 'close') {
			targets.probe(target);
		}
	};

	const settleError = (target: Target, connection: Connection, request: EndpointRequest, result: Failed) => {
		const {error, tookMs} = result;
		if (error.details.timedOut === true) {
			noteRun(request, tookMs);
		}

		fail(target, connection, request, error);
		targets.record(target, request.service, outcomeOf(error, tookMs));
	};

	/** Makes one try. When its answer takes too long, a slot for the next one is held first; the try goes on while no other endpoint can take the request. */
	const tryOnce = async (
		reservation: Reservation,
		request: EndpointRequest,
		{leftMs, tried}: Readonly<{leftMs: number; tried: ReadonlySet<string>}>,
		signal: AbortSignal,
	): Promise<Try> => {
		const {endpoint} = reservation;
		const target = targets.get(endpoint);
		const connection = leftMs > 0 && !signal.aborted ? target?.connections.take() : undefined;
		if (!target || !connection) {
			reservation.release();
			return {error: notSent(request.service, endpoint, leftMs, signal), next: undefined};
		}

		const startedMs = performance.now();
		const {answer, cancel} = exchange({connection, endpoint, request, limitMs: Math.round(leftMs)});
		const abort = () => {
			cancel(toServiceError(signal.reason, 'may-have-run'));
		};

		let next: Reservation | undefined;
		const softMs = softLimitMs(request);
		const isLookedForElsewhere = request.retryRule === 'idempotent' && leftMs - softMs > MIN_ATTEMPT_MS / 2;
		const endLate = () => {
			cancel(noAnswer(endpoint, 'deadline-exceeded'));
		};

		const lookElsewhere = () => {
			next = reserveRetry(request, tried);
			if (next) {
				cancel(noAnswer(endpoint, 'endpoint-failed'));
			} else {
				timer = setTimeout(endLate, leftMs - softMs);
			}
		};

		let timer = isLookedForElsewhere ? setTimeout(lookElsewhere, softMs) : setTimeout(endLate, leftMs);
		signal.addEventListener('abort', abort, {once: true});
		try {
			const received = await answer;
			noteRun(request, performance.now() - startedMs);
			settleAnswer(target, connection, request, received);
			next?.release();
			return {answer: received};
		} catch (error) {
			const failure = toServiceError(error, 'may-have-run');
			settleError(target, connection, request, {error: failure, tookMs: performance.now() - startedMs});
			return {error: failure, next};
		} finally {
			clearTimeout(timer);
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
			const result: Try = await tryOnce(next, request, {leftMs, tried}, signal);
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
