export type * from './types.js';
export * from './constants.js';
export {authenticate, hashToken} from './authenticate.js';
export {createErrorHandler} from './error-response.js';
export {createFailureLimit, type FailureLimit} from './failure-limit.js';
export {createJobRouter} from './job-router.js';
export {createServiceRouter} from './service-router.js';
