import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {text} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import FakeTimers from '@sinonjs/fake-timers';
import t from 'tap';
import {MAX_LINES_PER_SECOND} from './constants.js';
import {createLog} from './index.js';

// Guards against a process that blocks because nothing reads its log: the child's standard output is a pipe that is never read.
await t.test('without a reader, lines are dropped and the writer does not block', async (t) => {
	const script = fileURLToPath(new URL('test/write-many-lines.js', import.meta.url));
	const child = spawn(process.execPath, [script], {stdio: ['ignore', 'pipe', 'pipe']});
	t.teardown(() => {
		child.kill('SIGKILL');
	});
	const line = await new Promise<string>((resolve) => {
		child.stderr.once('data', (data) => {
			resolve(String(data));
		});
	});
	t.equal(line.trim(), 'through dropped=some');
});

// Guards against a process that exits without its last lines: `flush` resolved when the write that was under way had ended,
// while lines logged during that write were still buffered.
await t.test('flush waits for lines that are logged during a write', async (t) => {
	const script = fileURLToPath(new URL('test/end-after-flush.js', import.meta.url));
	const child = spawn(process.execPath, [script], {stdio: ['ignore', 'pipe', 'inherit']});
	t.match(await text(child.stdout), /event=first .*\n.* event=last\n$/v);
});

// Guards against a process whose reason to end is lost: the lines before it filled the pipe, which was read after the end.
await t.test('the last line is written although many lines wait for a slow reader', async (t) => {
	const script = fileURLToPath(new URL('test/fail-after-many-lines.js', import.meta.url));
	const child = spawn(process.execPath, [script], {stdio: ['ignore', 'pipe', 'inherit']});
	// Without a listener, what has not been read is dropped at the end of the process.
	child.stdout.on('readable', () => {});
	await once(child, 'exit');
	t.match(await text(child.stdout), /^.* event=process-failed error=why$/mv);
});

// Guards against flooding the log when a fault logs one line for each of thousands of units at the same time.
await t.test('lines of one event are rate-limited, and omitted lines are counted', async (t) => {
	const clock = FakeTimers.install({now: 0});
	t.teardown(() => {
		clock.uninstall();
	});
	const lines: string[] = [];
	const log = createLog({level: 'info', output: {write: (text: string) => lines.push(text)}});
	for (let index = 0; index < MAX_LINES_PER_SECOND + 70; index += 1) {
		log.info('unit-ended', {index});
	}

	log.info('job-ended');
	t.equal(lines.length, MAX_LINES_PER_SECOND + 1, 'other events are not affected');
	await clock.tickAsync(1000);
	log.info('unit-ended', {index: 0});
	t.match(lines.at(-2), /event=lines-omitted kind=unit-ended lines=70/v);
	t.match(lines.at(-1), /event=unit-ended index=0/v);
});
