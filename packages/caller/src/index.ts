export type * from './types.js';
export * from './constants.js';
export {createAdmission, type Admission, type Candidate} from './admission.js';
export {authenticate, hashToken} from './authenticate.js';
export {applyClaim, applyFinish, EMPTY_CLAIM_SHARD, findClaim, judgeClaim} from './claim-shard.js';
export {createErrorHandler} from './error-response.js';
export {createJobRouter} from './job-router.js';
export {createServiceRouter} from './service-router.js';
