import type {JobRecord} from '@bergamotgauge/model';
import {avoidedWorkers} from './avoided-workers.js';
import {GUARANTEE_RULE} from './preemption-rules.js';
import {isPreemptibleClass, type Demand} from './demand.js';
import {endOfJob} from './ended-jobs.js';
import {responseRatioOrder} from './order.js';
import type {PassState} from './pass-state.js';
import {correctedEstimate} from './run-times.js';
import type {Decision, PassOptions} from './types.js';

/** Urgent work comes first, then work that can use a block reserved for its customer, so that no borrower takes the block in the same pass. */
const precedenceOf = (state: PassState, demand: Demand): number => {
	if (demand.jobClass.urgency === 'urgent') {
		return 2;
	}

	return state.reservedBlocks.length > 0 && GUARANTEE_RULE.applies(state, demand) ? 1 : 0;
};

/** Returns the input of the placement search, or the decision on a job that is not to be placed. */
export const createDemand = (state: PassState, options: PassOptions, job: JobRecord): Demand | Decision => {
	const {view, fleet} = state;
	const {order = responseRatioOrder, estimate = correctedEstimate(view.runTimes)} = options;
	const jobClass = fleet.classes.get(job.jobClass);
	const customer = fleet.customers.get(job.customer);
	if (!jobClass || !customer) {
		return {kind: 'wait', job: job.id, reason: 'its class or its customer is no longer declared'};
	}

	const ended = endOfJob(job, jobClass, state.quarantined, view.nowMs);
	if (ended) {
		return ended;
	}

	const estimated = estimate(job);
	const heldAccelerators = state.heldByCustomer.get(job.customer) ?? 0;
	return {
		job,
		jobClass,
		customer,
		estimate: estimated,
		isPreemptible: isPreemptibleClass(jobClass),
		eligibility: fleet.eligibility(job),
		avoidedWorkers: avoidedWorkers(view.bundle, job),
		rank: order({job, jobClass, customer, estimate: estimated, heldAccelerators}, view.nowMs),
	};
};

type Queue = Readonly<{
	/** Jobs to place, in the order in which they are considered. */
	queue: readonly Demand[];
	/** Decisions on jobs that are not to be placed. */
	decided: readonly Decision[];
}>;

/** Sorts the waiting jobs into the order in which the pass considers them. */
export const createQueue = (state: PassState, options: PassOptions): Queue => {
	const decided: Decision[] = [];
	const queue: Array<{demand: Demand; precedence: number; position: number}> = [];
	for (const [position, job] of state.view.jobs.entries()) {
		if (job.state !== 'queued' || state.heldByJob.has(job.id)) {
			continue;
		}

		const demand = createDemand(state, options, job);
		if ('kind' in demand) {
			decided.push(demand);
		} else {
			queue.push({demand, precedence: precedenceOf(state, demand), position});
		}
	}

	queue.sort((a, b) => b.precedence - a.precedence || b.demand.rank - a.demand.rank || a.position - b.position);
	return {queue: queue.map(({demand}) => demand), decided};
};
