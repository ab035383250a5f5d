/** Thrown by `withDeadline` when the deadline is exceeded. */
export class DeadlineError extends Error {
	override readonly name = 'DeadlineError';
}

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
			clearTimeout(timer);
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

		const timer = setTimeout(() => {
			settle(() => {
				const reason = new DeadlineError(`deadline of ${ms} ms exceeded`);
				controller.abort(reason);
				reject(reason);
			});
		}, ms);

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
