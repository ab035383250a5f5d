export type * from './types.js';
export {createLog, createSilentLog, formatRecord} from './log.js';
export {createMetrics} from './metrics.js';
