import {sleep} from '@bergamotgauge/lifecycle';

/** Lets one task wait until it is woken. */
export type Waker = Readonly<{
	wake: () => void;
	/** Resolves at the next wake, at once when one came since the last wait, after `limitMs`, or when the signal aborts. */
	wait: (signal: AbortSignal, limitMs?: number) => Promise<void>;
}>;

/** Longest timer of the runtime. */
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
				// A listener left behind at each wait would pile up over a long term.
				signal.removeEventListener('abort', resume);
			}

			resume = undefined;
			isWoken = false;
		},
	};
};
