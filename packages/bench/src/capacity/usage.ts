import {readProcessUsage} from '@bergamotgauge/harness';
import {sleep} from '@bergamotgauge/lifecycle';
import type {Usage} from './types.js';

/**
Measures the resource usage of processes over a time window.

@example
```ts
const [usage] = await measureUsage([child.pid], 8000);
```
*/
export const measureUsage = async (pids: readonly number[], windowMs: number): Promise<readonly Usage[]> => {
	const startedMs = performance.now();
	const before = pids.map((pid) => readProcessUsage(pid));
	await sleep(windowMs);
	const seconds = (performance.now() - startedMs) / 1000;
	return pids.map((pid, index) => {
		const {cpuSeconds, bytes, memoryBytes} = readProcessUsage(pid);
		return {
			cpu: (cpuSeconds - before[index]!.cpuSeconds) / seconds,
			bytesPerSecond: (bytes - before[index]!.bytes) / seconds,
			memory: memoryBytes,
		};
	});
};
