export type * from './types.js';
export * from './constants.js';
export {ServiceError, toServiceError, type ErrorCode, type ServiceErrorOptions} from './service-error.js';
export {findDataFault, type DataFault} from './plain-data.js';
export {matchesSelector} from './selector.js';
export {BUNDLE_KEY, claimShardKey, hash48, jobShardKey, rackKey, slotShardKey} from './shard.js';
export {newJobId, newRequestId} from './identifier.js';
