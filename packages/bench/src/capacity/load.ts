import {sleep} from '@bergamotgauge/lifecycle';

/** A load generator that runs until it is stopped. */
export type Load = Readonly<{
	/** Stops the load, waits for pending calls and returns the number of failed calls. */
	stop: () => Promise<number>;
}>;

/**
Generates an open-loop load: calls `work` at a constant rate without waiting for earlier calls to complete.

@example
```ts
const load = startLoad(100, async (index) => send(index));
await load.stop();
```
*/
export const startLoad = (perSecond: number, work: (index: number) => Promise<unknown>): Load => {
	const controller = new AbortController();
	const running = new Set<Promise<void>>();
	let failed = 0;

	const runOne = async (index: number) => {
		try {
			await work(index);
		} catch {
			failed += 1;
		}
	};

	const run = async () => {
		const startedMs = performance.now();
		for (let index = 0; !controller.signal.aborted; index += 1) {
			const dueMs = startedMs + (index * 1000) / perSecond;
			await sleep(Math.max(0, dueMs - performance.now()), controller.signal);
			const promise = runOne(index);
			running.add(promise);
			void promise.then(() => running.delete(promise));
		}
	};

	const loop = run();
	return {
		async stop() {
			controller.abort();
			await loop;
			await Promise.all(running);
			return failed;
		},
	};
};
