/** Thrown by `withDeadline` when the time is up. */
export class DeadlineError extends Error {
	override readonly name = 'DeadlineError';
}

/**
Runs `work` with a signal that aborts after `ms` or with the outer signal. The result does not wait for work that ignores its signal.

@example
```ts
const value = await withDeadline(2000, async (signal) => store.get(key, {signal}));
```

@throws {DeadlineError} when `ms` pass first.
*/
export const withDeadline = async <Result>(
	ms: number,
	work: (signal: AbortSignal) => Promise<Result>,
	outer?: AbortSignal,
): Promise<Result> => {
	const controller = new AbortController();
	return new Promise<Result>((resolve, reject) => {
		const settle = (action: () => void) => {
			clearTimeout(timer);
			outer?.removeEventListener('abort', abort);
			action();
		};

		const abort = () => {
			settle(() => {
				const reason = outer?.reason instanceof Error ? outer.reason : new DeadlineError('aborted');
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

		if (outer?.aborted) {
			abort();
			return;
		}

		outer?.addEventListener('abort', abort, {once: true});
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
