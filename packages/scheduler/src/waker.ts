/** Lets one task wait until it is woken. */
export type Waker = Readonly<{
	wake: () => void;
	/** Resolves at the next wake, at once when one came since the last wait, or when the signal aborts. */
	wait: (signal: AbortSignal) => Promise<void>;
}>;

/**
Creates a waker.

@example
```ts
const waker = createWaker();
await waker.wait(signal);
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
		async wait(signal) {
			if (!isWoken && !signal.aborted) {
				await new Promise<void>((resolve) => {
					resume = resolve;
					signal.addEventListener(
						'abort',
						() => {
							resolve();
						},
						{once: true},
					);
				});
			}

			resume = undefined;
			isWoken = false;
		},
	};
};
