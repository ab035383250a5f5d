export type * from './types.js';
export {checkSubmission, isJobId} from './check-submission.js';
export {longestChainMs, objectiveMs} from './objective.js';
export {decodeJob, decodeProgress, encodeJob, encodeProgress} from './record-codec.js';
export {formatUnitName, occurrenceOfKey, parseUnitName, partKey} from './unit-name.js';
