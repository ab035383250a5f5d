import {createBackoff} from '@bergamotgauge/lifecycle';
import {BREAKER_FAILURES, BREAKER_MAX_MS, BREAKER_MIN_MS} from './constants.js';

/** Refuses calls while the store fails, and lets one probe through at a time. */
export type CircuitBreaker = Readonly<{
	/** `probe` admits a read only; a write waits until a read has succeeded. */
	state: () => 'closed' | 'open' | 'probe';
	succeeded: () => void;
	failed: () => void;
}>;

/**
Creates a closed circuit breaker.

@example
```ts
const breaker = createCircuitBreaker();
if (breaker.state() === 'open') throw unavailable();
```
*/
export const createCircuitBreaker = (random?: () => number): CircuitBreaker => {
	const options = {minMs: BREAKER_MIN_MS, maxMs: BREAKER_MAX_MS, ...(random && {random})};
	let backoff = createBackoff(options);
	let failures = 0;
	let openUntilMs = 0;
	return {
		state() {
			if (failures < BREAKER_FAILURES) {
				return 'closed';
			}

			return Date.now() < openUntilMs ? 'open' : 'probe';
		},
		succeeded() {
			failures = 0;
			backoff = createBackoff(options);
		},
		failed() {
			failures += 1;
			if (failures >= BREAKER_FAILURES && Date.now() >= openUntilMs) {
				openUntilMs = Date.now() + backoff.next();
			}
		},
	};
};
