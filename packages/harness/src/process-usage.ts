import {readFileSync} from 'node:fs';
import {CLOCK_TICKS_PER_SECOND} from './constants.js';
import type {ProcessUsage} from './types.js';

const numberAfter = (text: string, field: string): number =>
	Number(new RegExp(String.raw`^${field}:\s+(?<value>\d+)`, 'mv').exec(text)?.groups?.value ?? 0);

/**
Reads the CPU time of a process from Linux's `/proc`; also works for a process that has ended and is not reaped yet.

@example
```ts
const seconds = readCpuSeconds(child.pid);
```
*/
export const readCpuSeconds = (pid: number): number => {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	// User and system time are the 12th and 13th fields after the command name, which is in parentheses and may hold spaces.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
};

/**
Reads the resource usage of a process from Linux's `/proc`.

@example
```ts
const {cpuSeconds} = readProcessUsage(child.pid);
```
*/
export const readProcessUsage = (pid: number): ProcessUsage => {
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return {
		cpuSeconds: readCpuSeconds(pid),
		bytes: numberAfter(io, 'rchar') + numberAfter(io, 'wchar'),
		memoryBytes: numberAfter(status, 'VmRSS') * 1024,
	};
};
