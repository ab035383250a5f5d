/** Thrown by `withDeadline` when the deadline is exceeded. */
export class DeadlineError extends Error {
	override readonly name = 'DeadlineError';
}

/**
Calls `onExpired` after `ms` and returns a function that prevents that. The event loop runs due timers before it reads, so when it was held up, what has arrived meanwhile is read before the call: the delay may be this process's own.

@example
```ts
const cancel = startTimeout(2000, () => controller.abort());
socket.once('data', cancel);
```
*/
export const startTimeout = (ms: number, onExpired: () => void): (() => void) => {
	let immediate: NodeJS.Immediate | undefined;
	const timer = setTimeout(() => {
		immediate = setImmediate(onExpired);
	}, ms);
	return () => {
		clearTimeout(timer);
		clearImmediate(immediate);
	};
};

/**
Runs `work` with a signal that aborts after `ms` or together with `callerSignal`. The returned promise then rejects immediately, even when `work` ignores its signal.

@example
```ts
const value = await withDeadline(2000, async (signal) => store.get(key, {signal}));
```

@throws {DeadlineError} when `work` does not settle within `ms`.
*/
export const withDeadline = async <Result>(
	ms: number,
	work: (signal: AbortSignal) => Promise<Result>,
	callerSignal?: AbortSignal,
): Promise<Result> => {
	const controller = new AbortController();
	return new Promise<Result>((resolve, reject) => {
		const settle = (action: () => void) => {
			cancelTimeout();
			callerSignal?.removeEventListener('abort', abort);
			action();
		};

		const abort = () => {
			settle(() => {
				const reason = callerSignal?.reason instanceof Error ? callerSignal.reason : new DeadlineError('aborted');
				controller.abort(reason);
				reject(reason);
			});
		};

		const cancelTimeout = startTimeout(ms, () => {
			settle(() => {
				const reason = new DeadlineError(`deadline of ${ms} ms exceeded`);
				controller.abort(reason);
				reject(reason);
			});
		});

		if (callerSignal?.aborted) {
			abort();
			return;
		}

		callerSignal?.addEventListener('abort', abort, {once: true});
		work(controller.signal).then(
			(result) => {
				settle(() => {
					resolve(result);
				});
			},
			(error: unknown) => {
				settle(() => {
					reject(error instanceof Error ? error : new Error(String(error)));
				});
			},
		);
	});
};
