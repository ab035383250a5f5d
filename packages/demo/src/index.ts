export type * from './types.js';
export {startInstanceProcess, startStandIn} from './processes.js';
