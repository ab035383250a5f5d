export {openLogOutput, type LogStream} from './log-output.js';
export type * from './types.js';
export {createLog, createSilentLog, formatRecord} from './log.js';
export {parseLine, type LogLine} from './parse-line.js';
export {createMetrics} from './metrics.js';
