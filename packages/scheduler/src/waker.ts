import {sleep} from '@bergamotgauge/lifecycle';

/** Wakes a single waiting task; wakes are coalesced. */
export type Waker = Readonly<{
	wake: () => void;
	/** Resolves at the next wake, at once if there was one since the last wait, after `limitMs`, or when the signal aborts. */
	wait: (signal: AbortSignal, limitMs?: number) => Promise<void>;
}>;

/** Longest delay that timers of the runtime support. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
Creates a waker.

@example
```ts
const waker = createWaker();
await waker.wait(signal, 500);
```
*/
export const createWaker = (): Waker => {
	let isWoken = false;
	let resume: (() => void) | undefined;
	return {
		wake() {
			isWoken = true;
			resume?.();
		},
		async wait(signal, limitMs = MAX_TIMER_MS) {
			if (!isWoken && !signal.aborted) {
				const controller = new AbortController();
				resume = () => {
					controller.abort();
				};

				signal.addEventListener('abort', resume);
				await sleep(limitMs, controller.signal);
				// Otherwise each wait would leak a listener on the signal of the term.
				signal.removeEventListener('abort', resume);
			}

			resume = undefined;
			isWoken = false;
		},
	};
};
