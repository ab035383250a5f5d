export type * from './types.js';
export * from './constants.js';
export {createWorkerClient} from './worker-client.js';
