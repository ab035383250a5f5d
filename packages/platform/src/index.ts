export type * from './types.js';
export {INSTANCE_LIST_POLL_MS, STORE_RETRY_AFTER_MS} from './constants.js';
export {createGroupCommit, type Change, type GroupCommit} from './group-commit.js';
export {createInstanceList, mergeListing, type InstanceList} from './instance-list.js';
export {createOperationHistory, type OperationHistory} from './operation-history.js';
export {createReplica, type Replica, type ReplicaOptions} from './replica.js';
export {createStoreClient, type StoreClientOptions} from './store-client.js';
export {listAll, runWatcher} from './watcher.js';
export {decodeValue, encodeValue} from './value-codec.js';
