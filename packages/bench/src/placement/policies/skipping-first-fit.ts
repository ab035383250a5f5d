import type {JobRecord, Placement, RackRecord} from '@bergamotgauge/model';
import {
	adjacentRuns,
	eligibleWorker,
	occupancyOf,
	type Decision,
	type PlaceDecision,
	type PlacementView,
} from '@bergamotgauge/placement';
import type {Policy} from '../types.js';

const heldAccelerators = (racks: ReadonlyMap<string, RackRecord>, customer: string): number =>
	[...racks.values()]
		.flatMap((record) => record.placements)
		.filter((placement) => placement.customer === customer)
		.flatMap((placement) => placement.blocks)
		.reduce((sum, block) => sum + block.count, 0);

const isPlaced = (racks: ReadonlyMap<string, RackRecord>, job: JobRecord): boolean =>
	[...racks.values()].some((record) => record.placements.some((placement) => placement.job === job.id));

const withPlacement = (
	racks: ReadonlyMap<string, RackRecord>,
	{rack, placement}: PlaceDecision,
): Map<string, RackRecord> => {
	const record = racks.get(rack) ?? {rack, epoch: 0, homes: [], placements: [], quarantines: []};
	const placements: Placement[] = [...record.placements, {...placement, token: record.epoch + 1}];
	return new Map(racks).set(rack, {...record, placements});
};

const placeJob = (view: PlacementView, job: JobRecord): Decision => {
	const jobClass = view.bundle.jobClasses.find(({name}) => name === job.jobClass);
	const customer = view.bundle.customers.find(({name}) => name === job.customer);
	if (!jobClass || !customer) {
		return {kind: 'wait', job: job.id, reason: 'its class or its customer is no longer declared'};
	}

	if (heldAccelerators(view.racks, job.customer) + job.accelerators > customer.quota.accelerators) {
		return {kind: 'wait', job: job.id, reason: `the quota of customer ${job.customer} is in use`};
	}

	const isEligible = eligibleWorker(view.bundle, job);
	for (const rack of view.bundle.racks) {
		const occupancy = occupancyOf(rack, view.racks.get(rack.name));
		const [blocks] = adjacentRuns(
			rack,
			job.accelerators,
			(worker) => isEligible(worker) && !view.workersDown.has(worker.name) && !job.failedOn.includes(worker.name),
			occupancy,
		);
		if (blocks) {
			return {
				kind: 'place',
				rack: rack.name,
				placement: {
					job: job.id,
					attempt: job.attempt,
					customer: job.customer,
					jobClass: job.jobClass,
					blocks,
					preemptible: jobClass.preemptible,
					phase: 'placed',
					placedAtMs: view.nowMs,
					expectedEndMs: view.nowMs + job.declaredSeconds * 1000,
				},
				reason: `${job.accelerators} adjacent accelerators are free in rack ${rack.name}`,
			};
		}
	}

	return {kind: 'wait', job: job.id, reason: `no rack has ${job.accelerators} adjacent accelerators free now`};
};

const planFirstFit = (view: PlacementView): readonly Decision[] => {
	const decisions: Decision[] = [];
	let {racks} = view;
	for (const job of view.jobs) {
		if (isPlaced(racks, job)) {
			continue;
		}

		const decision = placeJob({...view, racks}, job);
		decisions.push(decision);
		if (decision.kind === 'place') {
			racks = withPlacement(racks, decision);
		}
	}

	return decisions;
};

/** The initial policy of the placement package: first fit in submission order, skipping jobs that do not fit. */
export const SKIPPING_FIRST_FIT: Policy = {name: 'skipping-first-fit', isPlanner: false, decide: planFirstFit};
