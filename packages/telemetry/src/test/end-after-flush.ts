import process from 'node:process';
import {createLog, openLogOutput} from '../index.js';

const output = openLogOutput();
const log = createLog({level: 'info', output});
// Longer than the buffer, so that its write is under way when the second line is logged.
log.info('first', {text: 'x'.repeat(5000)});
log.info('last');
await output.flush();
// Nothing is written after this.
process.kill(process.pid, 'SIGKILL');
