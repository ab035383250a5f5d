import process from 'node:process';
import {createLog, openLogOutput} from '../index.js';

/** Writes far more lines than a pipe holds, each of a kind of its own, and tells on standard error when it is through. */
const LINES = 40_000;

const output = openLogOutput();
const log = createLog({level: 'info', output});
for (let index = 0; index < LINES; index += 1) {
	log.info(`event-${index}`, {text: 'x'.repeat(100)});
	if (index % 100 === 0) {
		await new Promise((resolve) => {
			setImmediate(resolve);
		});
	}
}

process.stderr.write(`through dropped=${output.dropped() > 0 ? 'some' : 'none'}\n`);
