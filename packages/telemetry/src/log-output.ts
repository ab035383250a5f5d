import sonicBoom from 'sonic-boom';
import {LOG_BUFFER_BYTES, LOG_FLUSH_MS, MAX_LOG_BACKLOG_BYTES} from './constants.js';
import type {LogOutput} from './types.js';

/** Standard output for log lines. */
export type LogStream = LogOutput &
	Readonly<{
		/** Lines that a slow reader has cost. */
		dropped: () => number;
		/** Writes out what is collected, before the process ends. */
		flush: () => void;
	}>;

/**
Opens a file descriptor for log lines. Writing never waits for the reader: lines are collected and written in the background, and when too much waits, new ones are dropped and counted.

@example
```ts
const output = openLogOutput();
const log = createLog({level: 'info', output});
process.on('exit', output.flush);
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
		flush() {
			try {
				stream.flushSync();
			} catch {
				// The reader is gone, or reads too slowly to be waited for.
				dropped += 1;
			}
		},
	};
};
