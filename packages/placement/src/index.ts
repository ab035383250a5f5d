export type * from './types.js';
export {adjacentRuns, occupancyOf, type Occupancy} from './candidates.js';
export {checkGuarantees} from './check-guarantees.js';
export {checkSubmission} from './check-submission.js';
export {eligibleWorker, workerLabels} from './eligibility.js';
export {planPass} from './plan-pass.js';
