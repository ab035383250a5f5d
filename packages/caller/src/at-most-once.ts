import {createHash} from 'node:crypto';
import type {Dispatcher, EndpointResponse, EndpointRequest} from '@bergamotgauge/endpoint';
import {sleep} from '@bergamotgauge/lifecycle';
import {MAX_CLAIM_ANSWER_BYTES, ServiceError, toServiceError, type ClaimRecord} from '@bergamotgauge/model';
import {CLAIM_IN_PROGRESS_RETRY_AFTER_MS, CLAIM_RELEASE_WAIT_MS} from './constants.js';
import type {ClaimFinish, Claims} from './types.js';

/** An endpoint's response with the id of the request that ran, which for a replay is the first request with the idempotency key. */
export type RequestResult = Readonly<{
	requestId: string;
	endpointResponse: Pick<EndpointResponse, 'status' | 'headers' | 'body'>;
	isReplay: boolean;
}>;

/** Hash of the fields in which duplicates must be equal: service, class, method, path, content type and body. */
export const fingerprintOf = (request: EndpointRequest): string =>
	createHash('sha256')
		.update(
			JSON.stringify([
				request.service.name,
				request.requestClass,
				request.method,
				request.path,
				request.headers['content-type'] ?? '',
			]),
		)
		.update(request.body)
		.digest('base64url');

const replay = ({requestId, state, verdict, answer}: ClaimRecord): RequestResult => {
	if (answer) {
		const headers = answer.contentType === '' ? {} : {'content-type': answer.contentType};
		return {requestId, endpointResponse: {status: answer.status, headers, body: answer.body}, isReplay: true};
	}

	const isInProgress = state === 'claimed';
	throw new ServiceError(
		isInProgress
			? 'the first request with this idempotency key has not finished'
			: 'the first request with this idempotency key has ended and its response was not stored',
		{
			code: 'conflict',
			verdict: isInProgress ? 'may-have-run' : verdict,
			...(isInProgress && {retryAfterMs: CLAIM_IN_PROGRESS_RETRY_AFTER_MS}),
			details: {requestId},
		},
	);
};

const storableAnswer = ({status, headers, body}: EndpointResponse): Pick<ClaimFinish, 'answer'> =>
	body.length <= MAX_CLAIM_ANSWER_BYTES
		? {answer: {status, contentType: String(headers['content-type'] ?? ''), body}}
		: {};

const checkSendable = (signal: AbortSignal, remainingMs: number): void => {
	if (signal.aborted) {
		throw new ServiceError('the caller disconnected', {code: 'cancelled', verdict: 'not-run'});
	}

	if (remainingMs <= 0) {
		throw new ServiceError('the deadline passed before the request was sent', {
			code: 'deadline-exceeded',
			verdict: 'not-run',
		});
	}
};

/**
Sends a request at most once for its idempotency key.

@example
```ts
const {endpointResponse} = await sendAtMostOnce({claims, dispatcher, key, request, signal});
```

@throws {ServiceError} With the verdict of the first request when this one is a duplicate and the first response was not stored.
*/
export const sendAtMostOnce = async ({
	claims,
	dispatcher,
	key,
	request,
	signal,
}: Readonly<{
	claims: Claims;
	dispatcher: Pick<Dispatcher, 'dispatch'>;
	key: string;
	request: EndpointRequest;
	signal: AbortSignal;
}>): Promise<RequestResult> => {
	const startedMs = performance.now();
	const {customer, id: requestId} = request;
	const claimed = await claims.claim({key, customer, requestId, fingerprint: fingerprintOf(request)});
	if (claimed.kind === 'mismatched') {
		throw new ServiceError('the idempotency key was used for a request with different content', {
			code: 'conflict',
			verdict: 'not-run',
		});
	}

	if (claimed.kind === 'repeated') {
		return replay(claimed.claim);
	}

	try {
		const deadlineMs = request.deadlineMs - Math.ceil(performance.now() - startedMs);
		checkSendable(signal, deadlineMs);
		const endpointResponse = await dispatcher.dispatch({...request, deadlineMs}, signal);
		// The caller does not wait for this write: a duplicate that arrives before it is stored gets `may-have-run`.
		void claims.finish({key, customer, requestId, verdict: 'ran', ...storableAnswer(endpointResponse)});
		return {requestId, endpointResponse, isReplay: false};
	} catch (error) {
		const failure = toServiceError(error, 'may-have-run');
		const finished = claims.finish({key, customer, requestId, verdict: failure.verdict});
		if (failure.verdict === 'not-run') {
			const timer = new AbortController();
			await Promise.race([finished, sleep(CLAIM_RELEASE_WAIT_MS, timer.signal)]);
			timer.abort();
		}

		throw failure;
	}
};
