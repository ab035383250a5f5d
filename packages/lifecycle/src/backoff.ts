import type {BackoffOptions} from './types.js';

/**
Creates an exponential backoff whose delays double from `minMs` to `maxMs`; each delay is drawn at random from the upper half of its value.

@example
```ts
const backoff = createBackoff({minMs: 100, maxMs: 5000});
await sleep(backoff.next());
```
*/
export const createBackoff = ({minMs, maxMs, random = Math.random}: BackoffOptions) => {
	let current = minMs;
	return {
		next(): number {
			const delay = current / 2 + (random() * current) / 2;
			current = Math.min(maxMs, current * 2);
			return Math.round(delay);
		},
		reset(): void {
			current = minMs;
		},
	};
};
