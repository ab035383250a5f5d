import {readFile} from 'node:fs/promises';
import {sleep} from '@bergamotgauge/lifecycle';
import {CLOCK_TICKS_PER_SECOND} from './constants.js';
import type {Usage} from './types.js';

type Sample = Readonly<{cpuSeconds: number; bytes: number; memory: number}>;

const numberAfter = (text: string, label: string): number => Number(text.split(label, 2)[1]?.split('\n', 1)[0] ?? 0);

/** Reads CPU time, bytes and memory of a process from the process table of Linux. */
const sample = async (pid: number): Promise<Sample> => {
	const [stat, io, status] = await Promise.all(
		['stat', 'io', 'status'].map(async (file) => readFile(`/proc/${pid}/${file}`, 'utf8')),
	);
	// Fields after the closing parenthesis of the command: user and system time are the 12th and 13th.
	const fields = stat!.slice(stat!.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[11]) + Number(fields[12]);
	return {
		cpuSeconds: ticks / CLOCK_TICKS_PER_SECOND,
		bytes: numberAfter(io!, 'rchar: ') + numberAfter(io!, 'wchar: '),
		memory: Number.parseInt(numberText(status!), 10) * 1024,
	};
};

const numberText = (status: string): string => /VmRSS:\s+(?<kilobytes>\d+)/v.exec(status)?.groups?.kilobytes ?? '0';

/**
Measures processes over a time.

@example
```ts
const [usage] = await measureUsage([child.pid], 8000);
```
*/
export const measureUsage = async (pids: readonly number[], windowMs: number): Promise<readonly Usage[]> => {
	const startedMs = performance.now();
	const before = await Promise.all(pids.map(async (pid) => sample(pid)));
	await sleep(windowMs);
	const seconds = (performance.now() - startedMs) / 1000;
	const after = await Promise.all(pids.map(async (pid) => sample(pid)));
	return after.map((current, index) => ({
		cpu: (current.cpuSeconds - before[index]!.cpuSeconds) / seconds,
		bytesPerSecond: (current.bytes - before[index]!.bytes) / seconds,
		memory: current.memory,
	}));
};
