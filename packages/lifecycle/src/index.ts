export type * from './types.js';
export {createBackoff} from './backoff.js';
export {DeadlineError, startTimeout, withDeadline} from './deadline.js';
export {createLifecycle} from './lifecycle.js';
export {sleep} from './sleep.js';
export {refuseUnreadableRequests} from './unreadable-requests.js';
