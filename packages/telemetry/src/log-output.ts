import {sleep} from '@bergamotgauge/lifecycle';
import sonicBoom from 'sonic-boom';
import {LOG_BUFFER_BYTES, LOG_FLUSH_MS, MAX_LOG_BACKLOG_BYTES, MAX_LOG_FLUSH_MS} from './constants.js';
import type {LogOutput} from './types.js';

/** Standard output for log lines. */
export type LogStream = LogOutput &
	Readonly<{
		/** Lines that a slow reader has cost. */
		dropped: () => number;
		/** Resolves when what is collected is written, or after a short time: a reader that is gone must not hold up the end. */
		flush: () => Promise<void>;
	}>;

/**
Opens a file descriptor for log lines. Writing never waits for the reader: lines are collected and written in the background, and when too much waits, new ones are dropped and counted.

@example
```ts
const output = openLogOutput();
const log = createLog({level: 'info', output});
await output.flush();
```
*/
export const openLogOutput = (descriptor = 1): LogStream => {
	const stream = new sonicBoom.SonicBoom({
		fd: descriptor,
		sync: false,
		minLength: LOG_BUFFER_BYTES,
		maxLength: MAX_LOG_BACKLOG_BYTES,
		periodicFlush: LOG_FLUSH_MS,
	});
	let dropped = 0;
	stream.on('drop', () => {
		dropped += 1;
	});
	stream.on('error', () => {
		// Without a reader there is nobody to tell; the work goes on.
		dropped += 1;
	});
	return {
		write: (text) => stream.write(text),
		dropped: () => dropped,
		flush: async () =>
			Promise.race([
				new Promise<void>((resolve) => {
					stream.flush(() => {
						resolve();
					});
				}),
				sleep(MAX_LOG_FLUSH_MS),
			]),
	};
};
