import VError from 'verror';
import type {Verdict} from './types.js';

export type ErrorCode =
	| 'bad-request'
	| 'unauthenticated'
	| 'forbidden'
	| 'not-found'
	| 'conflict'
	| 'impossible'
	| 'over-quota'
	| 'overloaded'
	| 'too-large'
	| 'key-expired'
	| 'deadline-exceeded'
	| 'cancelled'
	| 'draining'
	| 'no-endpoint'
	| 'endpoint-failed'
	| 'store-unavailable'
	| 'peer-unavailable'
	| 'worker-failed'
	| 'advice-failed'
	| 'machines-unavailable'
	| 'stale-token'
	| 'internal';

export type ServiceErrorOptions = Readonly<{
	code: ErrorCode;
	verdict: Verdict;
	/** HTTP status for callers and operators. */
	status?: number;
	retryAfterMs?: number;
	cause?: Error;
	/** Further information for logs and the response body. */
	details?: Readonly<Record<string, unknown>>;
}>;

const STATUS_BY_CODE: Readonly<Record<ErrorCode, number>> = {
	'bad-request': 400,
	unauthenticated: 401,
	forbidden: 403,
	'not-found': 404,
	conflict: 409,
	impossible: 422,
	'over-quota': 429,
	overloaded: 503,
	'too-large': 413,
	'key-expired': 409,
	'deadline-exceeded': 504,
	cancelled: 499,
	draining: 503,
	'no-endpoint': 503,
	'endpoint-failed': 502,
	'store-unavailable': 503,
	'peer-unavailable': 503,
	'worker-failed': 502,
	'advice-failed': 502,
	'machines-unavailable': 502,
	'stale-token': 409,
	internal: 500,
};

/**
An error whose verdict states whether the request may have run.

@example
```ts
throw new ServiceError('no endpoint matches', {code: 'no-endpoint', verdict: 'not-run', retryAfterMs: 1000});
```
*/
export class ServiceError extends VError {
	readonly code: ErrorCode;
	readonly verdict: Verdict;
	readonly status: number;
	readonly retryAfterMs: number | undefined;
	readonly details: Readonly<Record<string, unknown>>;

	constructor(message: string, options: ServiceErrorOptions) {
		super({name: 'ServiceError', ...(options.cause && {cause: options.cause})}, '%s', message);
		this.code = options.code;
		this.verdict = options.verdict;
		this.status = options.status ?? STATUS_BY_CODE[options.code];
		this.retryAfterMs = options.retryAfterMs;
		this.details = options.details ?? {};
	}
}

/**
Converts a thrown value to a ServiceError. A value that is not one already gets the code `internal` and the given verdict.

@example
```ts
const error = toServiceError(thrown, 'may-have-run');
```
*/
export const toServiceError = (thrown: unknown, verdict: Verdict): ServiceError => {
	if (thrown instanceof ServiceError) {
		return thrown;
	}

	const cause = thrown instanceof Error ? thrown : new Error(String(thrown));
	return new ServiceError(cause.message, {code: 'internal', verdict, cause});
};
