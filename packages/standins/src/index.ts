export type * from './types.js';
export {startEndpoint, type EndpointStandIn} from './endpoint.js';
export {startInstanceList, type InstanceListStandIn} from './instance-list.js';
export {startStore, type StoreStandIn} from './store.js';
export {startWorker, type WorkerStandIn} from './worker.js';
export {createWorkerModel, type PrepareBody, type TaskReference, type WorkerModel} from './worker-model.js';
