export type * from './types.js';
export * from './constants.js';
export {connectionShare, createDispatcher, type DispatcherOptions} from './dispatcher.js';
