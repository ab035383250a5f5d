import {setMaxListeners} from 'node:events';
import {createBackoff} from './backoff.js';
import {RESTART_MAX_MS, RESTART_MIN_MS} from './constants.js';
import {sleep} from './sleep.js';
import type {Closer, FailureListener, Lifecycle, Task} from './types.js';

const runSupervised = async (
	name: string,
	task: Task,
	signal: AbortSignal,
	onFailure: FailureListener | undefined,
): Promise<void> => {
	const backoff = createBackoff({minMs: RESTART_MIN_MS, maxMs: RESTART_MAX_MS});
	while (!signal.aborted) {
		try {
			await task(signal);
			return;
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			const restartMs = backoff.next();
			onFailure?.(name, error instanceof Error ? error : new Error(String(error)), restartMs);
			await sleep(restartMs, signal);
		}
	}
};

/**
Creates a lifecycle, which owns a group of resources and tasks.

@example
```ts
const lifecycle = createLifecycle('instance', (task, error) => log.warn('task-failed', {task, error: error.message}));
lifecycle.add('server', async () => server.close());
lifecycle.run('renew', async (signal) => renewUntilAborted(signal));
await lifecycle.close();
```
*/
export const createLifecycle = (name: string, onFailure?: FailureListener): Lifecycle => {
	const controller = new AbortController();
	// Every task of the lifecycle listens to this signal, so a large number of listeners is not a leak.
	setMaxListeners(0, controller.signal);
	const closers: Array<Readonly<{name: string; closer: Closer}>> = [];
	const running = new Set<Promise<void>>();
	let closing: Promise<void> | undefined;

	const closeAll = async () => {
		controller.abort();
		await Promise.all(running);
		const errors: Error[] = [];
		for (const {name: closerName, closer} of closers.toReversed()) {
			try {
				await closer();
			} catch (error) {
				errors.push(new Error(`closing ${closerName} failed`, {cause: error}));
			}
		}

		if (errors.length > 0) {
			throw new AggregateError(errors, `closing ${name} failed`);
		}
	};

	const lifecycle: Lifecycle = {
		name,
		signal: controller.signal,
		add(closerName, closer) {
			if (closing) {
				// Nobody waits for a resource that was added too late, so its failure is only reported.
				void (async () => {
					try {
						await closer();
					} catch (error) {
						onFailure?.(`${name}/${closerName}`, error instanceof Error ? error : new Error(String(error)), 0);
					}
				})();

				return;
			}

			closers.push({name: closerName, closer});
		},
		run(taskName, task) {
			if (closing) {
				return;
			}

			const promise = runSupervised(`${name}/${taskName}`, task, controller.signal, onFailure);
			running.add(promise);
			void (async () => {
				await promise;
				running.delete(promise);
			})();
		},
		child(childName) {
			const child = createLifecycle(`${name}/${childName}`, onFailure);
			lifecycle.add(childName, async () => child.close());
			return child;
		},
		async close() {
			closing ??= closeAll();
			return closing;
		},
	};
	return lifecycle;
};
