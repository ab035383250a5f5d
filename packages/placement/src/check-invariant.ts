import type {JobRecord, RackRecord} from '@bergamotgauge/model';
import {fleetOf, type FleetRack} from './fleet.js';
import {acceleratorsOf, addToCount, forEachCell} from './pass-state.js';
import type {PlacementView, Violation} from './types.js';

type Report = (kind: Violation['kind'], reason: string) => void;

const checkRack = (
	record: RackRecord | undefined,
	fleetRack: FleetRack,
	jobs: ReadonlyMap<string, JobRecord>,
	report: Report,
): void => {
	const occupant = new Map<number, string>();
	const owner = new Map<number, string>();
	for (const reservedBlock of record?.homes ?? []) {
		forEachCell(fleetRack, reservedBlock.blocks, (cell) => {
			if (owner.has(cell)) {
				report(
					'home-overlap',
					`reserved block ${reservedBlock.index} of ${reservedBlock.guarantee} overlaps another reserved block`,
				);
			}

			owner.set(cell, reservedBlock.customer);
		});
	}

	for (const placement of record?.placements ?? []) {
		const cells: number[] = [];
		forEachCell(fleetRack, placement.blocks, (cell) => {
			cells.push(cell);
			if (occupant.has(cell)) {
				report('double-booking', `jobs ${occupant.get(cell)} and ${placement.job} hold the same accelerator`);
			}

			occupant.set(cell, placement.job);
		});
		const expected = jobs.get(placement.job)?.accelerators ?? acceleratorsOf(placement.blocks);
		const isAdjacent = cells.every((cell, index) => index === 0 || cell === cells[index - 1]! + 1);
		const isPermittedRun = isAdjacent && fleetRack.starts(expected).includes(cells[0] ?? -1);
		if (cells.length !== expected || !isPermittedRun) {
			report('partial-gang', `job ${placement.job} holds ${cells.length} of ${expected} adjacent accelerators`);
		}

		const otherOwnerCell = cells.find((cell) => owner.has(cell) && owner.get(cell) !== placement.customer);
		if (!placement.preemptible && otherOwnerCell !== undefined) {
			report(
				'home-occupied',
				`job ${placement.job} can't be evicted and occupies a block reserved for customer ${owner.get(otherOwnerCell)}`,
			);
		}
	}
};

/**
Lists violations of the placement invariants in the rack records: reserved blocks that overlap or that their owner can't reclaim, accelerators held by two jobs, gangs with only some of their accelerators, jobs placed twice, and customers above their quota.

@example
```ts
if (checkInvariant(view).length > 0) {
	log.error('placement invariant broken');
}
```
*/
export const checkInvariant = (view: PlacementView): readonly Violation[] => {
	const violations: Violation[] = [];
	const rackOfJob = new Map<string, string>();
	const held = new Map<string, number>();
	const {racks} = fleetOf(view.bundle);
	const jobs = new Map(view.jobs.map((job) => [job.id, job]));
	for (const fleetRack of racks) {
		const {name} = fleetRack.rack;
		const report: Report = (kind, reason) => {
			violations.push({kind, rack: name, reason});
		};

		checkRack(view.racks.get(name), fleetRack, jobs, report);
		for (const placement of view.racks.get(name)?.placements ?? []) {
			addToCount(held, placement.customer, acceleratorsOf(placement.blocks));
			if (rackOfJob.has(placement.job)) {
				report('double-booking', `job ${placement.job} is also placed in rack ${rackOfJob.get(placement.job)}`);
			}

			rackOfJob.set(placement.job, name);
		}
	}

	for (const {name, quota} of view.bundle.customers) {
		if ((held.get(name) ?? 0) > quota.accelerators) {
			violations.push({
				kind: 'quota',
				rack: '',
				reason: `customer ${name} holds ${held.get(name)} of ${quota.accelerators} accelerators`,
			});
		}
	}

	return violations;
};
