export type * from './types.js';
export * from './constants.js';
export {createProgram, exitCodeOf} from './program.js';
