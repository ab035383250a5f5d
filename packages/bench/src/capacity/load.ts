import {sleep} from '@bergamotgauge/lifecycle';

/** A load that runs until it is stopped. */
export type Load = Readonly<{
	/** Stops and gives the number of calls that failed. */
	stop: () => Promise<number>;
}>;

/**
Calls `work` at a steady rate without waiting for its results.

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
