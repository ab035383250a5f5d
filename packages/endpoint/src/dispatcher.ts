import {ServiceError, toServiceError, type Service} from '@bergamotgauge/model';
import type {Connection} from './connections.js';
import {
	ATTEMPT_TIMEOUT_RUN_TIMES,
	MAX_ATTEMPTS,
	MIN_ATTEMPT_TIMEOUT_MS,
	MIN_EVIDENCE_MS,
	NO_ENDPOINT_RETRY_AFTER_MS,
	RUN_TIME_SMOOTHING,
} from './constants.js';
import {exchange} from './exchange.js';
import {createRetryBudget} from './retry-budget.js';
import {createTargets, type Target, type TargetOptions, type AttemptOutcome} from './targets.js';
import type {Dispatcher, EndpointResponse, EndpointRequest, Reservation} from './types.js';

export type DispatcherOptions = TargetOptions;

type AttemptResult =
	| Readonly<{response: EndpointResponse}>
	/** A failed attempt with the slot of the next one, if it is already reserved. */
	| Readonly<{error: ServiceError; next: Reservation | undefined}>;

const noEndpointError = (service: Service, reason: string): ServiceError =>
	new ServiceError(`service ${service.name}: ${reason}`, {
		code: 'no-endpoint',
		verdict: 'not-run',
		retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS,
	});

const canRetry = (error: ServiceError, request: EndpointRequest): boolean =>
	error.verdict === 'not-run' || (error.verdict === 'may-have-run' && request.retryRule === 'idempotent');

const noResponseError = (endpoint: string, code: 'endpoint-failed' | 'deadline-exceeded'): ServiceError =>
	new ServiceError(`endpoint ${endpoint} did not respond in time`, {
		code,
		verdict: 'may-have-run',
		details: {timedOut: true},
	});

const notSentError = (service: Service, endpoint: string, remainingMs: number, signal: AbortSignal): ServiceError => {
	if (signal.aborted) {
		return new ServiceError('the caller disconnected', {code: 'cancelled', verdict: 'not-run'});
	}

	return remainingMs > 0
		? noEndpointError(service, `no free connection to endpoint ${endpoint}`)
		: new ServiceError('the deadline passed before the request was sent', {
				code: 'deadline-exceeded',
				verdict: 'not-run',
			});
};

type FailedAttempt = Readonly<{error: ServiceError; durationMs: number}>;

const isRefusal = (error: ServiceError): boolean => error.verdict === 'not-run' && error.status === 503;

const outcomeOf = (error: ServiceError, durationMs: number): AttemptOutcome => {
	if (isRefusal(error)) {
		return error.details.draining === true ? 'draining' : 'full';
	}

	const isConnectionFailure = error.code === 'endpoint-failed' && error.details.timedOut !== true;
	return error.code !== 'cancelled' && (isConnectionFailure || durationMs >= MIN_EVIDENCE_MS)
		? 'failed'
		: 'no-evidence';
};

/**
Creates the dispatcher of requests to endpoints.

@example
```ts
const dispatcher = createDispatcher({availabilityZone: 'a', lifecycle, log, metrics, slotsOf});
const reservation = dispatcher.reserve(service);
const response = await dispatcher.dispatch(request, signal, reservation);
```
*/
export const createDispatcher = (options: DispatcherOptions): Dispatcher => {
	const {metrics, log} = options;
	const targets = createTargets(options);
	const retryBudget = createRetryBudget();
	const meanRunMs = new Map<string, number>();
	let inProgress = 0;

	const recordRun = (request: EndpointRequest, durationMs: number) => {
		const name = `${request.service.name}/${request.requestClass}`;
		const mean = meanRunMs.get(name) ?? durationMs;
		meanRunMs.set(name, mean + (durationMs - mean) * RUN_TIME_SMOOTHING);
	};

	/** Time without a response after which an idempotent request is retried on another endpoint. */
	const attemptTimeoutMs = (request: EndpointRequest): number =>
		Math.max(
			MIN_ATTEMPT_TIMEOUT_MS,
			(meanRunMs.get(`${request.service.name}/${request.requestClass}`) ?? 0) * ATTEMPT_TIMEOUT_RUN_TIMES,
		);

	/** Reserves a slot for a retry, within the retry budget. */
	const reserveRetry = (request: EndpointRequest, tried: ReadonlySet<string>): Reservation | undefined => {
		const reservation = tried.size < MAX_ATTEMPTS ? targets.reserve(request.service, tried) : undefined;
		if (!reservation) {
			return undefined;
		}

		if (!retryBudget.tryWithdraw()) {
			reservation.release();
			metrics.count('endpoint_retries_refused_total', {service: request.service.name});
			return undefined;
		}

		metrics.count('endpoint_retries_total', {service: request.service.name});
		return reservation;
	};

	const releaseAfterError = (target: Target, connection: Connection, request: EndpointRequest, error: ServiceError) => {
		if (isRefusal(error)) {
			target.connectionPool.release(connection);
			return;
		}

		target.connectionPool.retire(connection);
		metrics.count('endpoint_connections_retired_total', {service: request.service.name});
		if (error.details.timedOut === true) {
			// Idle connections of the same age may be dead as well.
			target.connectionPool.closeIdle('all');
			log.warn('connection-silent', {endpoint: target.endpoint.id, request: request.id});
		}

		if (error.code !== 'cancelled') {
			targets.probe(target);
		}
	};

	const settleResponse = (
		target: Target,
		connection: Connection,
		request: EndpointRequest,
		response: EndpointResponse,
	) => {
		targets.record(target, request.service, 'answered');
		target.connectionPool.release(connection);
		if (response.headers.connection === 'close') {
			targets.probe(target);
		}
	};

	const settleError = (target: Target, connection: Connection, request: EndpointRequest, result: FailedAttempt) => {
		const {error, durationMs} = result;
		if (error.details.timedOut === true) {
			recordRun(request, durationMs);
		}

		releaseAfterError(target, connection, request, error);
		targets.record(target, request.service, outcomeOf(error, durationMs));
	};

	/**
	Makes one attempt. After the attempt timeout a slot for the retry is reserved before the attempt is cancelled; if no retry is possible, the attempt continues until the deadline.
	*/
	const sendAttempt = async (
		reservation: Reservation,
		request: EndpointRequest,
		{remainingMs, tried}: Readonly<{remainingMs: number; tried: ReadonlySet<string>}>,
		signal: AbortSignal,
	): Promise<AttemptResult> => {
		const {endpoint} = reservation;
		const target = targets.get(endpoint);
		const connection = remainingMs > 0 && !signal.aborted ? target?.connectionPool.acquire() : undefined;
		if (!target || !connection) {
			reservation.release();
			return {error: notSentError(request.service, endpoint, remainingMs, signal), next: undefined};
		}

		const startedMs = performance.now();
		const {response, cancel} = exchange({connection, endpoint, request, limitMs: Math.round(remainingMs)});
		const abort = () => {
			cancel(toServiceError(signal.reason, 'may-have-run'));
		};

		let next: Reservation | undefined;
		const timeoutMs = attemptTimeoutMs(request);
		const hasAttemptTimeout =
			request.retryRule === 'idempotent' && remainingMs - timeoutMs > MIN_ATTEMPT_TIMEOUT_MS / 2;
		const endAtDeadline = () => {
			cancel(noResponseError(endpoint, 'deadline-exceeded'));
		};

		const tryOtherEndpoint = () => {
			next = reserveRetry(request, tried);
			if (next) {
				cancel(noResponseError(endpoint, 'endpoint-failed'));
			} else {
				timer = setTimeout(endAtDeadline, remainingMs - timeoutMs);
			}
		};

		let timer = hasAttemptTimeout ? setTimeout(tryOtherEndpoint, timeoutMs) : setTimeout(endAtDeadline, remainingMs);
		signal.addEventListener('abort', abort, {once: true});
		try {
			const received = await response;
			recordRun(request, performance.now() - startedMs);
			settleResponse(target, connection, request, received);
			next?.release();
			return {response: received};
		} catch (error) {
			const failure = toServiceError(error, 'may-have-run');
			settleError(target, connection, request, {error: failure, durationMs: performance.now() - startedMs});
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
	): Promise<EndpointResponse> => {
		const startedMs = performance.now();
		const tried = new Set<string>();
		let lastError: ServiceError | undefined;
		let next = first ?? targets.reserve(request.service);
		retryBudget.deposit();
		while (next) {
			tried.add(next.endpoint);
			const remainingMs = request.deadlineMs - (performance.now() - startedMs);
			const result: AttemptResult = await sendAttempt(next, request, {remainingMs, tried}, signal);
			if ('response' in result) {
				return result.response;
			}

			const {error} = result;
			// An earlier attempt that may have run determines the verdict of the whole request.
			lastError = lastError?.verdict === 'may-have-run' && error.verdict === 'not-run' ? lastError : error;
			if (signal.aborted || !canRetry(error, request)) {
				result.next?.release();
				throw lastError;
			}

			next = result.next ?? reserveRetry(request, tried);
		}

		throw lastError ?? noEndpointError(request.service, 'no endpoint has a free slot');
	};

	return {
		inProgress: () => inProgress,
		slotsInUse: (endpoint) => targets.get(endpoint)?.slotsInUse ?? 0,
		slotsInUseBy: (service) => targets.matching(service).reduce((sum, {slotsInUse}) => sum + slotsInUse, 0),
		hasEndpoint: (service) => targets.matching(service).some((target) => targets.isUsable(target)),
		reserve: (service) => targets.reserve(service),
		onFree: targets.onFree,
		refresh: targets.refresh,
		setEndpoints: targets.set,
		markLeaving(endpoint, reason) {
			targets.markLeaving(endpoint, reason, false);
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
