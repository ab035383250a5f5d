export type * from './types.js';
export * from './constants.js';
export {createDispatcher, type DispatcherOptions} from './dispatcher.js';
export {connectionShare} from './targets.js';
