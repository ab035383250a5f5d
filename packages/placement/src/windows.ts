import type {Block} from '@bergamotgauge/model';
import {fitsShare, isAdmitted, mayBorrow, type Demand} from './demand.js';
import type {FleetRack} from './fleet.js';
import {acceleratorsOf, type PassState, type RackState} from './pass-state.js';

/** A run of adjacent accelerators from cell `start` that the demand's shape may occupy. */
export type Run = Readonly<{rack: RackState; start: number}>;

/**
Gives the blocks of a run, one for each worker.

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

/** Which part of the homes a run lies in; `undefined` when the demand may not use the run. */
export type HomeUse = Readonly<{ownHome: number; borrowed: number}>;

/**
Checks a run against the homes. Work that can't be evicted stays out of homes of others, and uses a home of its own customer only as a whole-home claim or, for shapes larger than that home, across it.
*/
export const homeUse = (state: PassState, {rack, start}: Run, demand: Demand): HomeUse | undefined => {
	const end = start + demand.job.accelerators;
	const isBorrower = mayBorrow(demand);
	let ownCells = 0;
	let borrowed = 0;
	let ownHome = -1;
	for (let cell = start; cell < end; cell += 1) {
		const index = rack.home[cell]!;
		if (index === -1) {
			continue;
		}

		if (state.homes[index]!.customer !== demand.customer.name) {
			if (!isBorrower) {
				return undefined;
			}

			borrowed += 1;
			continue;
		}

		ownCells = ownHome === index || ownHome === -1 ? ownCells + 1 : ownCells;
		ownHome = index;
	}

	const isWithin = ownCells === demand.job.accelerators;
	if (ownHome !== -1 && !isWithin && !demand.isPreemptible) {
		const size = acceleratorsOf(state.homes[ownHome]!.blocks);
		return demand.job.accelerators > size ? {ownHome: -1, borrowed} : undefined;
	}

	return {ownHome: isWithin ? ownHome : -1, borrowed};
};

/** Checks the workers of a run, their cores and their memory, but not its accelerators. `freed` occupants count as gone. */
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
Whether the demand takes no more than its part of the cores and memory of workers that hold homes of others. Otherwise the owner's claim would get its accelerators without the cores for them.
*/
export const keepsToItsPart = (state: PassState, {rack, start}: Run, demand: Demand): boolean => {
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
			const home = rack.home[cell]!;
			if (home !== -1 && state.homes[home]!.customer !== demand.customer.name) {
				return false;
			}
		}
	}

	return true;
};

/** Whether all accelerators of the run are free and kept for no other job that needs them before this one ends. */
export const isRunFree = (state: PassState, {rack, start}: Run, demand: Demand, endMs: number): boolean => {
	const end = start + demand.job.accelerators;
	for (let cell = start; cell < end; cell += 1) {
		if (rack.occupant[cell] !== -1) {
			return false;
		}

		const hold = rack.hold[cell]!;
		if (hold !== -1) {
			const {job, readyMs} = state.holds[hold]!;
			if (job !== demand.job.id && endMs > readyMs) {
				return false;
			}
		}
	}

	return true;
};

const isOwnHomeCell = (state: PassState, rack: RackState, cell: number, demand: Demand): boolean =>
	rack.home[cell] !== -1 && state.homes[rack.home[cell]!]!.customer === demand.customer.name;

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
			// A guarantee comes before the split of the pool, so an own home is open also above the share.
			if (isInShare || isOwnHomeCell(state, rack, start, demand)) {
				visit({rack, start});
			}
		}
	}
};

/** Calls `visit` with each run of the demand's shape inside the homes of its own customer. */
export const forEachOwnHomeRun = (state: PassState, {customer, job}: Demand, visit: (run: Run) => void): void => {
	for (const {rack, first, size} of state.homesByCustomer.get(customer.name) ?? []) {
		for (const start of rack.fleetRack.starts(job.accelerators)) {
			if (start >= first && start + job.accelerators <= first + size) {
				visit({rack, start});
			}
		}
	}
};
