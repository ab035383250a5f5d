import {Buffer} from 'node:buffer';
import {writeSync} from 'node:fs';
import process from 'node:process';
import {sleep} from '@bergamotgauge/lifecycle';
import sonicBoom from 'sonic-boom';
import {
	LOG_BUFFER_BYTES,
	LOG_FLUSH_INTERVAL_MS,
	LOG_FLUSH_DEADLINE_MS,
	LAST_LINE_DEADLINE_MS,
	LAST_LINE_RETRY_MS,
	MAX_LOG_BACKLOG_BYTES,
} from './constants.js';
import type {LogOutput} from './types.js';

/** A buffered, non-blocking stream for log lines. */
export type LogStream = LogOutput &
	Readonly<{
		/** Number of lines dropped because the reader was slow or the stream failed. */
		dropped: () => number;
		/** Resolves when the buffered lines are written, or after a short time, so that a missing reader cannot delay termination. */
		flush: () => Promise<void>;
		/** Writes a line ahead of the buffered ones and blocks until it is written, for a second at most; for the reason why the process ends. */
		writeLast: (text: string) => void;
	}>;

/** Blocks the process. */
const block = (ms: number): void => {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

const isReaderSlow = (error: unknown): boolean => (error as NodeJS.ErrnoException).code === 'EAGAIN';

/** Writes to a non-blocking descriptor until all is written, the deadline has passed or the reader is gone. */
const writeBlocking = (fd: number, text: string): void => {
	const deadlineMs = performance.now() + LAST_LINE_DEADLINE_MS;
	let rest = Buffer.from(text);
	while (rest.length > 0) {
		try {
			rest = rest.subarray(writeSync(fd, rest));
		} catch (error) {
			// Nothing can be logged about a log that fails, and the process is about to end.
			if (!isReaderSlow(error) || performance.now() >= deadlineMs) {
				return;
			}

			block(LAST_LINE_RETRY_MS);
		}
	}
};

/**
Opens the standard output for log lines. Writing never blocks on the reader: lines are buffered and written in the background, and while the backlog is full, new lines are dropped and counted.

@example
```ts
const output = openLogOutput();
const log = createLog({level: 'info', output});
await output.flush();
```
*/
export const openLogOutput = (): LogStream => {
	const stream = new sonicBoom.SonicBoom({
		// Opening `process.stdout` makes a pipe or socket non-blocking. On a blocking one, a write to a reader that does not
		// read occupies a thread of the runtime's pool, which the exit of the process waits for without limit.
		fd: process.stdout.fd,
		sync: false,
		minLength: LOG_BUFFER_BYTES,
		maxLength: MAX_LOG_BACKLOG_BYTES,
		periodicFlush: LOG_FLUSH_INTERVAL_MS,
	});
	let dropped = 0;
	stream.on('drop', () => {
		dropped += 1;
	});
	stream.on('error', () => {
		// The error cannot be logged, since the log itself failed; the process continues without it.
		dropped += 1;
	});
	const flushOnce = async () =>
		new Promise<void>((resolve) => {
			stream.flush(() => {
				resolve();
			});
		});

	const flushAll = async () => {
		await flushOnce();
		// The stream reports the end of a write even if less than its minimum length is buffered behind it.
		await flushOnce();
	};

	return {
		write: (text) => stream.write(text),
		dropped: () => dropped,
		flush: async () => Promise.race([flushAll(), sleep(LOG_FLUSH_DEADLINE_MS)]),
		writeLast(text) {
			// What was written before may end in the middle of a line.
			writeBlocking(process.stdout.fd, `\n${text}`);
		},
	};
};
