export type {Machine, MachinePort, MachineReply, Wave, WaveRecords, WaveState} from './maintenance/types.js';
export type * from './types.js';
export {createJobService, type JobAddress, type JobService} from './job-service.js';
export {createStoreHealth, createSuspendClock, type StoreHealth} from './store-health.js';
export {plan} from './plan/plan.js';
export type * from './plan/types.js';
export {startScheduler, type Scheduler} from './scheduler.js';
export {DEFAULT_POLICY, isMechanism, MECHANISMS, policyWithout, type Mechanism, type Policy} from './policy.js';
