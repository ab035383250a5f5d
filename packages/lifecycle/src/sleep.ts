/**
Resolves after `ms`, or immediately when the signal aborts.

@example
```ts
await sleep(500, lifecycle.signal);
```
*/
export const sleep = async (ms: number, signal?: AbortSignal): Promise<void> =>
	new Promise((resolve) => {
		if (signal?.aborted) {
			resolve();
			return;
		}

		const finish = () => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const timer = setTimeout(finish, ms);
		signal?.addEventListener('abort', finish, {once: true});
	});
