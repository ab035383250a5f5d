/** Wakes a waiting loop; a wake-up while nothing waits ends the next wait at once. */
export type Waker = Readonly<{
	wake: () => void;
	/** Resolves at the next wake-up, after `ms`, or when the signal aborts. */
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
}>;

/**
Creates a waker for one waiting loop.

@example
```ts
const waker = createWaker();
replica.events.on('changed', waker.wake);
await waker.wait(500, signal);
```
*/
export const createWaker = (): Waker => {
	let isWoken = false;
	let finish: (() => void) | undefined;
	return {
		wake() {
			isWoken = true;
			finish?.();
		},
		async wait(ms, signal) {
			await new Promise<void>((resolve) => {
				const settle = () => {
					clearTimeout(timer);
					signal.removeEventListener('abort', settle);
					finish = undefined;
					resolve();
				};

				const timer = setTimeout(settle, ms);
				finish = settle;
				signal.addEventListener('abort', settle);
				if (isWoken || signal.aborted) {
					settle();
				}
			});
			isWoken = false;
		},
	};
};
