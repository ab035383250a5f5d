/**
Resolves when the signal aborts.

@example
```ts
await waitForAbort(term.signal);
```
*/
export const waitForAbort = async (signal: AbortSignal): Promise<void> => {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>((resolve) => {
		signal.addEventListener(
			'abort',
			() => {
				resolve();
			},
			{once: true},
		);
	});
};
