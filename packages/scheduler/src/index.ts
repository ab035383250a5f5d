export type {Machine, MachinePort, MachineReply, Wave, WaveRecords, WaveState} from './maintenance/types.js';
export type * from './types.js';
export type * from './evacuation/types.js';
export type {JobAddress} from './callers/types.js';
export {createJobService, type JobService} from './job-service.js';
export {
	CLOCK_RATE_ERROR,
	LEADER_WATCH_WAIT_MS,
	LEASE_EXPIRY_MARGIN_MS,
	LEASE_SHARE,
	MAX_CLAIM_DELAY_MS,
	MAX_ORDER_MS,
	ORDER_DEADLINES_MS,
	PENDING_CACHE_MS,
	PENDING_TTL_MS,
	PENDING_VIEW_MAX_AGE_MS,
	PENDING_WRITE_MS,
	PLAN_INTERVAL_MS,
	RENEWAL_GRACE_MS,
	RENEWAL_WAIT_MS,
	RESTART_MS,
	SLOW_RESPONSE_MS,
	START_LEAD_MS,
	SUBMIT_RESOLVE_MS,
	WATCH_RETRY_MAX_MS,
	WORKER_RETRY_MAX_MS,
} from './constants.js';
export {MIN_START_BOUND_MS} from './start-guard.js';
export {createClocks, type Clocks} from './clocks.js';
export {createStoreHealth, type StoreHealth} from './store-health.js';
export {startRelay, type StartRelayOptions} from './relay/start-relay.js';
export type {Relay} from './relay/relay.js';
export type {CallerCall} from './relay/types.js';
export {plan} from './plan/plan.js';
export type * from './plan/types.js';
export {THROTTLE_INTERVAL_MS} from './throttle-constants.js';
export {startScheduler, type Scheduler} from './scheduler.js';
export {
	DEFAULT_POLICY,
	INTERFERENCE_MODES,
	isMechanism,
	MECHANISMS,
	policyWithout,
	type InterferenceMode,
	type Mechanism,
	type Policy,
} from './policy.js';
