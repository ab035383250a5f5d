import {ServiceError} from '@bergamotgauge/model';
import {LRUCache} from 'lru-cache';
import {AUTHENTICATION_FAILURE_WINDOW_MS, MAX_AUTHENTICATION_FAILURES, MAX_COUNTED_ADDRESSES} from './constants.js';

/** Counts a failed authentication and returns the error to respond with. */
export type FailureLimit = (error: ServiceError, address: string | undefined) => ServiceError;

/**
Creates the limit on failed authentications per remote address. A valid token is never refused, because callers behind one load balancer share its address.

@example
```ts
const limit = createFailureLimit();
sendError(response, limit(error, request.socket.remoteAddress));
```
*/
export const createFailureLimit = (): FailureLimit => {
	const failures = new LRUCache<string, number>({
		max: MAX_COUNTED_ADDRESSES,
		ttl: AUTHENTICATION_FAILURE_WINDOW_MS,
		// The window starts with the first failure.
		noUpdateTTL: true,
	});
	return (error, address = 'unknown') => {
		const count = (failures.get(address) ?? 0) + 1;
		failures.set(address, count);
		if (count <= MAX_AUTHENTICATION_FAILURES) {
			return error;
		}

		return new ServiceError('too many failed authentications from this address', {
			code: 'over-quota',
			verdict: 'not-run',
			retryAfterMs: failures.getRemainingTTL(address),
		});
	};
};
