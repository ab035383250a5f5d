import process from 'node:process';
import {createLog, openLogOutput} from '../index.js';

const LINES = 300;

const output = openLogOutput();
const log = createLog({level: 'info', output});
for (let index = 0; index < LINES; index += 1) {
	log.info('request-refused', {text: 'x'.repeat(900)});
}

createLog({level: 'error', output: {write: output.writeLast}}).error('process-failed', {error: 'why'});
await output.flush();
// Nothing is written after this.
process.kill(process.pid, 'SIGKILL');
