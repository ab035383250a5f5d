import type {Block} from '@bergamotgauge/model';
import {fitsShare, isAdmitted, mayBorrow, type Demand} from './demand.js';
import type {FleetRack} from './fleet.js';
import {acceleratorsOf, type PassState, type RackState} from './pass-state.js';

/** A run of adjacent accelerators from cell `start` that the demand's shape may occupy. */
export type Run = Readonly<{rack: RackState; start: number}>;

/**
Returns the blocks of a run, one for each worker.

@example
```ts
blocksOf(fleetRack, 8, 16); // eight accelerators of the second and of the third worker
```
*/
export const blocksOf = (rack: FleetRack, start: number, accelerators: number): Block[] => {
	const blocks: Block[] = [];
	for (let cell = start; cell < start + accelerators;) {
		const worker = rack.workerOfCell[cell]!;
		const first = cell - rack.firstCell[worker]!;
		const count = Math.min(rack.workers[worker]!.accelerators - first, start + accelerators - cell);
		blocks.push({worker: rack.workers[worker]!.name, first, count});
		cell += count;
	}

	return blocks;
};

/** How a run overlaps reserved blocks: the index of the customer's own block that contains it (-1 for none) and the number of cells in blocks of other customers. */
export type ReservedBlockUse = Readonly<{ownBlock: number; borrowed: number}>;

/**
Checks a run against the reserved blocks; `undefined` when the demand may not use the run. Work that may not borrow stays out of blocks reserved for other customers. Non-preemptible work may lie inside a block reserved for its own customer, but may cross the border of one only when its shape is larger than that block.
*/
export const reservedBlockUse = (
	state: PassState,
	{rack, start}: Run,
	demand: Demand,
): ReservedBlockUse | undefined => {
	const end = start + demand.job.accelerators;
	const isBorrower = mayBorrow(demand);
	let ownCells = 0;
	let borrowed = 0;
	let ownBlock = -1;
	for (let cell = start; cell < end; cell += 1) {
		const index = rack.reservedBlock[cell]!;
		if (index === -1) {
			continue;
		}

		if (state.reservedBlocks[index]!.customer !== demand.customer.name) {
			if (!isBorrower) {
				return undefined;
			}

			borrowed += 1;
			continue;
		}

		ownCells = ownBlock === index || ownBlock === -1 ? ownCells + 1 : ownCells;
		ownBlock = index;
	}

	const isWithin = ownCells === demand.job.accelerators;
	if (ownBlock !== -1 && !isWithin && !demand.isPreemptible) {
		const size = acceleratorsOf(state.reservedBlocks[ownBlock]!.blocks);
		return demand.job.accelerators > size ? {ownBlock: -1, borrowed} : undefined;
	}

	return {ownBlock: isWithin ? ownBlock : -1, borrowed};
};

/** Checks the workers of a run, their cores and their memory, but not its accelerators. Resources of the `freed` placements count as free. */
export const isRunAdmitted = (
	state: PassState,
	{rack, start}: Run,
	demand: Demand,
	freed?: ReadonlySet<number>,
): boolean => {
	const {fleetRack} = rack;
	const end = start + demand.job.accelerators;
	for (let cell = start; cell < end;) {
		const index = fleetRack.workerOfCell[cell]!;
		const worker = fleetRack.workers[index]!;
		const next = Math.min(end, fleetRack.firstCell[index]! + worker.accelerators);
		const count = next - cell;
		if (!isAdmitted(rack, index, demand)) {
			return false;
		}

		let cores = rack.coresLeft[index]! + 1e-9;
		let memory = rack.memoryLeft[index]! + 1e-9;
		for (const occupant of freed ?? []) {
			const {job, placement} = state.held[occupant]!;
			const held = placement.blocks.find((block) => block.worker === worker.name)?.count ?? 0;
			cores += held * (job?.coresPerAccelerator ?? 0);
			memory += held * (job?.memoryGigabytesPerAccelerator ?? 0);
		}

		if (count * demand.job.coresPerAccelerator > cores || count * demand.job.memoryGigabytesPerAccelerator > memory) {
			return false;
		}

		cell = next;
	}

	return true;
};

/**
Whether the demand leaves enough cores and memory for the owners of reserved blocks on the same workers: on a worker with cells reserved for another customer, it may take no more cores and memory per accelerator than the worker has. Otherwise an owner could reclaim its accelerators without the cores to use them.
*/
export const leavesOwnersTheirResources = (state: PassState, {rack, start}: Run, demand: Demand): boolean => {
	const {fleetRack} = rack;
	const end = start + demand.job.accelerators;
	const lastWorker = fleetRack.workerOfCell[end - 1]!;
	for (let index = fleetRack.workerOfCell[start]!; index <= lastWorker; index += 1) {
		const worker = fleetRack.workers[index]!;
		if (
			demand.job.coresPerAccelerator * worker.accelerators <= worker.cores &&
			demand.job.memoryGigabytesPerAccelerator * worker.accelerators <= worker.memoryGigabytes
		) {
			continue;
		}

		const first = fleetRack.firstCell[index]!;
		for (let cell = first; cell < first + worker.accelerators; cell += 1) {
			const reservedBlock = rack.reservedBlock[cell]!;
			if (reservedBlock !== -1 && state.reservedBlocks[reservedBlock]!.customer !== demand.customer.name) {
				return false;
			}
		}
	}

	return true;
};

/** Whether all accelerators of the run are free, and not reserved for another job that is expected to start before this one ends. */
export const isRunFree = (state: PassState, {rack, start}: Run, demand: Demand, endMs: number): boolean => {
	const end = start + demand.job.accelerators;
	for (let cell = start; cell < end; cell += 1) {
		if (rack.occupant[cell] !== -1) {
			return false;
		}

		const reservation = rack.reservation[cell]!;
		if (reservation !== -1) {
			const {job, readyMs} = state.reservations[reservation]!;
			if (job !== demand.job.id && endMs > readyMs) {
				return false;
			}
		}
	}

	return true;
};

const isOwnBlockCell = (state: PassState, rack: RackState, cell: number, demand: Demand): boolean =>
	rack.reservedBlock[cell] !== -1 && state.reservedBlocks[rack.reservedBlock[cell]!]!.customer === demand.customer.name;

/** Calls `visit` with each run of the demand's shape in racks that its partner's share admits. */
export const forEachRun = (
	state: PassState,
	demand: Demand,
	isRackConsidered: (rack: RackState) => boolean,
	visit: (run: Run) => void,
): void => {
	let poolName: string | undefined;
	let isInShare = false;
	for (const rack of state.usableRacks) {
		if (!isRackConsidered(rack)) {
			continue;
		}

		const {pool} = rack.fleetRack.rack;
		if (pool !== poolName) {
			poolName = pool;
			isInShare = fitsShare(state, pool, demand);
		}

		for (const start of rack.fleetRack.starts(demand.job.accelerators)) {
			// A guarantee takes precedence over the partner shares of the pool, so a customer may use its own reserved block above the share.
			if (isInShare || isOwnBlockCell(state, rack, start, demand)) {
				visit({rack, start});
			}
		}
	}
};

/** Calls `visit` with each run of the demand's shape inside the blocks reserved for its customer. */
export const forEachOwnBlockRun = (state: PassState, {customer, job}: Demand, visit: (run: Run) => void): void => {
	for (const {rack, first, size} of state.reservedBlocksByCustomer.get(customer.name) ?? []) {
		for (const start of rack.fleetRack.starts(job.accelerators)) {
			if (start >= first && start + job.accelerators <= first + size) {
				visit({rack, start});
			}
		}
	}
};
