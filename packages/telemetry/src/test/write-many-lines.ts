import process from 'node:process';
import {createLog, openLogOutput} from '../index.js';

/** Far more lines than a pipe buffers. */
const LINES = 40_000;

const output = openLogOutput();
const log = createLog({level: 'info', output});
// Each line has its own event name, so that none is rate-limited.
for (let index = 0; index < LINES; index += 1) {
	log.info(`event-${index}`, {text: 'x'.repeat(100)});
	if (index % 100 === 0) {
		await new Promise((resolve) => {
			setImmediate(resolve);
		});
	}
}

process.stderr.write(`through dropped=${output.dropped() > 0 ? 'some' : 'none'}\n`);
