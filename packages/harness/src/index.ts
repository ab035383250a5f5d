export type * from './types.js';
export {startListedInstance, type InstanceOptions} from './instances.js';
export {registerListedInstance, startPlatform} from './platform.js';
export {readProcessUsage} from './process-usage.js';
export {startInstanceProcess, startStandIn} from './processes.js';
export {newToken, sha256} from './tokens.js';
export {pollUntil} from './poll-until.js';
