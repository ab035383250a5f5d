export {openLogOutput, type LogStream} from './log-output.js';
export type * from './types.js';
export {createLog, createSilentLog, formatRecord} from './log.js';
export {createMetrics} from './metrics.js';
