import {createBackoff} from '@bergamotgauge/lifecycle';
import {BREAKER_FAILURES, BREAKER_MAX_MS, BREAKER_MIN_MS, STORE_DEADLINE_MS} from './constants.js';

/** Rejects calls while the store fails, and admits one probe at a time. */
export type CircuitBreaker = Readonly<{
	/** Returns whether a call may be made. `probe` admits one read only; a write must wait until that read has succeeded. */
	admit: () => 'closed' | 'open' | 'probe';
	recordSuccess: () => void;
	recordFailure: () => void;
}>;

/**
Creates a closed circuit breaker.

@example
```ts
const breaker = createCircuitBreaker();
if (breaker.admit() === 'open') throw unavailable();
```
*/
export const createCircuitBreaker = (random?: () => number): CircuitBreaker => {
	const options = {minMs: BREAKER_MIN_MS, maxMs: BREAKER_MAX_MS, ...(random && {random})};
	let backoff = createBackoff(options);
	let failures = 0;
	let openUntilMs = 0;
	let probeUntilMs = 0;
	return {
		admit() {
			if (failures < BREAKER_FAILURES) {
				return 'closed';
			}

			const nowMs = Date.now();
			if (nowMs < openUntilMs || nowMs < probeUntilMs) {
				return 'open';
			}

			probeUntilMs = nowMs + STORE_DEADLINE_MS;
			return 'probe';
		},
		recordSuccess() {
			failures = 0;
			probeUntilMs = 0;
			backoff = createBackoff(options);
		},
		recordFailure() {
			failures += 1;
			probeUntilMs = 0;
			if (failures >= BREAKER_FAILURES && Date.now() >= openUntilMs) {
				openUntilMs = Date.now() + backoff.next();
			}
		},
	};
};
