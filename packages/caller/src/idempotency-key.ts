import {ServiceError} from '@bergamotgauge/model';
import {validate, version} from 'uuid';
import {MAX_CLOCK_SKEW_MS, IDEMPOTENCY_KEY_HEADER, MAX_KEY_AGE_MS} from './constants.js';

const TIMESTAMP_DIGITS = 12;

/** Timestamp of a UUID version 7, in ms since the epoch. */
const timeOfKey = (key: string): number => Number.parseInt(key.replaceAll('-', '').slice(0, TIMESTAMP_DIGITS), 16);

/**
Validates an idempotency key and returns it in lower case.

@example
```ts
const key = parseIdempotencyKey(request.get('idempotency-key'), Date.now());
```

@throws {ServiceError} `bad-request` for a missing or malformed key, `key-expired` for a key outside the accepted age.
*/
export const parseIdempotencyKey = (text: string | undefined, nowMs: number): string => {
	if (text === undefined || !validate(text) || version(text) !== 7) {
		throw new ServiceError(
			`a request of an at-most-once class must carry ${IDEMPOTENCY_KEY_HEADER} with a UUID version 7`,
			{
				code: 'bad-request',
				verdict: 'not-run',
			},
		);
	}

	const ageMs = nowMs - timeOfKey(text);
	if (ageMs > MAX_KEY_AGE_MS || ageMs < -MAX_CLOCK_SKEW_MS) {
		// An earlier request with an expired key may have run, and its claim may have expired too.
		const verdict = ageMs > 0 ? 'may-have-run' : 'not-run';
		throw new ServiceError(
			`${IDEMPOTENCY_KEY_HEADER} is ${ageMs} ms old; allowed: ${-MAX_CLOCK_SKEW_MS} to ${MAX_KEY_AGE_MS} ms`,
			{code: 'key-expired', verdict},
		);
	}

	return text.toLowerCase();
};
