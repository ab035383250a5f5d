export type * from './types.js';
export {startInstance} from './instance.js';
export {checkSettings} from './settings.js';
