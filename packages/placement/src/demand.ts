import type {Customer, JobClass, JobRecord} from '@bergamotgauge/model';
import {BORROWING_WITHOUT_CHECKPOINT_SECONDS} from './constants.js';
import type {Eligibility} from './fleet.js';
import type {PassState, RackState} from './pass-state.js';
import type {Estimate} from './types.js';

/** A waiting job with the inputs of the placement search. */
export type Demand = Readonly<{
	job: JobRecord;
	jobClass: JobClass;
	customer: Customer;
	estimate: Estimate;
	isPreemptible: boolean;
	eligibility: Eligibility;
	/** Workers on which the job failed and is not retried. */
	avoidedWorkers: readonly string[];
	/** Rank in the queue; higher goes first. */
	rank: number;
}>;

/**
True when work of the class may be evicted. Work that must not be repeated may be evicted only by a checkpoint.

@example
```ts
isPreemptibleClass({...jobClass, retryRule: 'at-most-once', checkpointSeconds: 0}); // false
```
*/
export const isPreemptibleClass = (jobClass: JobClass): boolean =>
	jobClass.preemptible && (jobClass.retryRule === 'idempotent' || jobClass.checkpointSeconds > 0);

/** Whether the work may use blocks reserved for other customers: it can be evicted, and an eviction doesn't lose a long run. */
export const mayBorrow = ({isPreemptible, jobClass, estimate}: Demand): boolean =>
	isPreemptible && (jobClass.checkpointSeconds > 0 || estimate.expectedSeconds <= BORROWING_WITHOUT_CHECKPOINT_SECONDS);

/** Whether the demand fits into its partner's declared share of a pool; only non-preemptible work is limited by shares. */
export const fitsShare = ({fleet, nonPreemptibleByPartner}: PassState, poolName: string, demand: Demand): boolean => {
	const pool = fleet.pools.get(poolName);
	if (!pool || pool.shares.length === 0 || demand.isPreemptible) {
		return true;
	}

	const {partner} = demand.customer;
	const share = pool.shares.find((declared) => declared.partner === partner)?.share ?? 0;
	const limit = share * (fleet.poolAccelerators.get(poolName) ?? 0);
	return (nonPreemptibleByPartner.get(`${poolName}/${partner}`) ?? 0) + demand.job.accelerators <= limit + 1e-9;
};

/** Accelerators by which a partner is above (positive) or below its declared share of a pool; 0 without shares. */
export const shareExcess = ({fleet, heldByPartner}: PassState, poolName: string, partner: string): number => {
	const pool = fleet.pools.get(poolName);
	if (!pool || pool.shares.length === 0) {
		return 0;
	}

	const share = pool.shares.find((declared) => declared.partner === partner)?.share ?? 0;
	return (heldByPartner.get(`${poolName}/${partner}`) ?? 0) - share * (fleet.poolAccelerators.get(poolName) ?? 0);
};

/** Whether the job may run on the worker, apart from the accelerators in use there. */
export const isAdmitted = (rack: RackState, workerIndex: number, demand: Demand): boolean => {
	const worker = rack.fleetRack.workers[workerIndex]!;
	return (
		rack.isUsable[workerIndex]! &&
		demand.eligibility[rack.fleetRack.index]![workerIndex]! &&
		!demand.avoidedWorkers.includes(worker.name) &&
		// A worker on probation gets only work that may be repeated and that fits on this one worker.
		(!rack.isOnProbation[workerIndex]! ||
			(demand.jobClass.retryRule === 'idempotent' && demand.job.accelerators <= worker.accelerators))
	);
};
