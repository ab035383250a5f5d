import {avoidedWorkers} from './avoided-workers.js';
import {cheapestEviction, evictionCost} from './eviction.js';
import {isPreemptibleClass, type Demand} from './demand.js';
import {planReservedBlocks} from './reserved-blocks.js';
import {createPassState, type HeldPlacement, type PassState} from './pass-state.js';
import {planPass} from './plan-pass.js';
import {correctedEstimate} from './run-times.js';
import type {Explanation, Obstacle, PassOptions, PlacementView} from './types.js';

/** Cost of work that can't be evicted, so that it is named as an obstacle only where no other set of jobs would do. */
const UNSAFE_COST = 1e12;

const obstacle = (state: PassState, held: HeldPlacement): Obstacle => ({
	job: held.placement.job,
	customer: held.placement.customer,
	rack: state.racks[held.rack]!.fleetRack.rack.name,
	accelerators: held.accelerators,
	preemptible: held.placement.preemptible,
	expectedEndMs: held.endMs,
});

const obstaclesOf = (state: PassState, view: PlacementView, jobId: string, options: PassOptions): Obstacle[] => {
	const job = view.jobs.find(({id}) => id === jobId)!;
	const jobClass = state.fleet.classes.get(job.jobClass);
	const customer = state.fleet.customers.get(job.customer);
	if (!jobClass || !customer) {
		return [];
	}

	const demand: Demand = {
		job,
		jobClass,
		customer,
		estimate: (options.estimate ?? correctedEstimate(view.runTimes))(job),
		isPreemptible: isPreemptibleClass(jobClass),
		eligibility: state.fleet.eligibility(job),
		avoidedWorkers: avoidedWorkers(view.bundle, job),
		rank: 0,
	};
	const cost = evictionCost(state, () => true, false);
	const eviction = cheapestEviction(state, demand, {
		cost: (index, rack) => Math.min(cost(index, rack), UNSAFE_COST + state.held[index]!.endMs - view.nowMs),
	});
	return (eviction?.victims ?? []).map((held) => obstacle(state, held));
};

/**
Explains why a job waits, where it runs, and which jobs would have to end for it to start.

@example
```ts
explainJob(view, jobId).reason; // 'the quota of customer acme is in use'
```
*/
export const explainJob = (view: PlacementView, jobId: string, options: PassOptions = {}): Explanation => {
	for (const [rack, {placements}] of view.racks) {
		const placement = placements.find(({job}) => job === jobId);
		if (placement) {
			const {phase, blocks, guarantee, homeIndex} = placement;
			const reservedBlockText =
				guarantee === undefined ? '' : ` in reserved block ${homeIndex} of guarantee ${guarantee}`;
			return {
				job: jobId,
				state: phase === 'evicting' ? 'evicting' : 'running',
				reason:
					phase === 'evicting'
						? `being evicted from rack ${rack} for other work`
						: `placed in rack ${rack}${reservedBlockText}`,
				rack,
				blocks,
				obstacles: [],
			};
		}
	}

	const job = view.jobs.find(({id}) => id === jobId);
	if (!job) {
		return {job: jobId, state: 'unknown', reason: 'no such job', obstacles: []};
	}

	if (job.state === 'ended') {
		return {job: jobId, state: 'ended', reason: job.outcome?.reason ?? 'ended', obstacles: []};
	}

	const decision = planPass(view, options).find(
		(candidate) =>
			(candidate.kind === 'wait' || candidate.kind === 'end' || candidate.kind === 'place') &&
			(candidate.kind === 'place' ? candidate.placement.job : candidate.job) === jobId,
	);
	if (decision?.kind === 'place') {
		const {rack, placement, reason} = decision;
		return {job: jobId, state: 'starting', reason, rack, blocks: placement.blocks, obstacles: []};
	}

	if (decision?.kind === 'end') {
		return {job: jobId, state: 'ending', reason: decision.reason, obstacles: []};
	}

	const blockPlan = planReservedBlocks(view);
	const state = createPassState(view, blockPlan.reservedBlocks);
	const shortfall = blockPlan.shortfalls.find(({customer}) => customer === job.customer);
	const shortfallText = shortfall
		? `; guarantee ${shortfall.guarantee} has no reserved block for shape ${shortfall.index + 1}: ${shortfall.reason}`
		: '';
	return {
		job: jobId,
		state: 'waiting',
		reason: `${decision?.reason ?? 'it is considered in the next pass'}${shortfallText}`,
		obstacles: obstaclesOf(state, view, jobId, options),
	};
};
