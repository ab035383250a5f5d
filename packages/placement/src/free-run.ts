import type {Weights} from '@bergamotgauge/model';
import type {Demand} from './demand.js';
import {acceleratorsOf, longestFreeRun, type PassState, type RackState} from './pass-state.js';
import type {Score, ScoredRun} from './types.js';
import {forEachRun, isRunAdmitted, isRunFree, leavesOwnersTheirResources, reservedBlockUse, type Run} from './runs.js';

const DEFAULT_WEIGHTS: Weights = {completionTime: 0.5, fragmentation: 0.5};

/** Marks the cells that lie in a free block of the largest guaranteed shape, with the cells from `takenFrom` to `takenTo` counted as taken. */
const computeFreeBlockCells = (
	rack: RackState,
	largestShape: number,
	takenFrom: number,
	takenTo: number,
): Uint8Array => {
	const cells = new Uint8Array(rack.fleetRack.cells);
	for (const start of rack.fleetRack.starts(largestShape)) {
		const end = start + largestShape;
		let isFree = takenTo <= start || takenFrom >= end;
		for (let cell = start; isFree && cell < end; cell += 1) {
			isFree = rack.occupant[cell] === -1;
		}

		if (isFree) {
			cells.fill(1, start, end);
		}
	}

	return cells;
};

/** Cells of the rack that lie in a free block of the largest guaranteed shape; cached until a placement changes the rack. */
export const freeBlockCellsOf = (rack: RackState, largestShape: number): Uint8Array => {
	rack.freeBlockCells ??= computeFreeBlockCells(rack, largestShape, 0, 0);
	return rack.freeBlockCells;
};

const sum = (cells: Uint8Array): number => {
	let total = 0;
	for (const cell of cells) {
		total += cell;
	}

	return total;
};

const scoredRun = (state: PassState, run: Run, demand: Demand): ScoredRun => {
	const {rack, start} = run;
	const {accelerators} = demand.job;
	const {largestShape} = state.fleet;
	const freeBlockCells = freeBlockCellsOf(rack, largestShape);
	let freeBlockAccelerators = 0;
	for (let cell = start; cell < start + accelerators; cell += 1) {
		freeBlockAccelerators += freeBlockCells[cell]!;
	}

	const fragmentedAccelerators =
		freeBlockAccelerators === 0
			? 0
			: sum(freeBlockCells) -
				sum(computeFreeBlockCells(rack, largestShape, start, start + accelerators)) -
				freeBlockAccelerators;
	const worker = rack.fleetRack.workerOfCell[start]!;
	const firstCell = rack.fleetRack.firstCell[worker]!;
	const lastCell = firstCell + rack.fleetRack.workers[worker]!.accelerators;
	let remainingOnWorker = 0;
	let latestEndMs = 0;
	for (let cell = firstCell; cell < lastCell; cell += 1) {
		const occupant = rack.occupant[cell]!;
		if (occupant !== -1) {
			latestEndMs = Math.max(latestEndMs, state.held[occupant]!.endMs);
		} else if (cell < start || cell >= start + accelerators) {
			remainingOnWorker += 1;
		}
	}

	const {ownBlock, borrowed} = reservedBlockUse(state, run, demand)!;
	const endMs = state.view.nowMs + demand.estimate.expectedSeconds * 1000;
	return {
		accelerators,
		fragmentedAccelerators,
		freeBlockAccelerators,
		remainingOnWorker,
		endDistanceSeconds: latestEndMs === 0 ? 0 : Math.abs(endMs - latestEndMs) / 1000,
		borrowedAccelerators: borrowed,
		reservedBlockShare: ownBlock === -1 ? 0 : accelerators / acceleratorsOf(state.reservedBlocks[ownBlock]!.blocks),
		isCostlyToEvict: demand.jobClass.checkpointSeconds === 0,
		expectedSeconds: demand.estimate.expectedSeconds,
	};
};

/**
End of a job that is compared with reservations to decide whether it may backfill. Work that can checkpoint uses the expected end, because it can be evicted for the reservation when it overruns; other work uses the pessimistic end.
*/
export const backfillEndMs = ({view}: PassState, {isPreemptible, jobClass, estimate}: Demand): number => {
	const canBeEvicted = isPreemptible && jobClass.checkpointSeconds > 0;
	return view.nowMs + (canBeEvicted ? estimate.expectedSeconds : estimate.pessimisticSeconds) * 1000;
};

/** Finds the free run with the lowest score; the first one among equal scores. */
export const bestFreeRun = (state: PassState, demand: Demand, scores: readonly Score[]): Run | undefined => {
	const {accelerators} = demand.job;
	const endMs = backfillEndMs(state, demand);
	let best: {run: Run; cost: number} | undefined;
	forEachRun(
		state,
		demand,
		(rack) => longestFreeRun(rack) >= accelerators,
		(run) => {
			if (
				!isRunFree(state, run, demand, endMs) ||
				!isRunAdmitted(state, run, demand) ||
				!reservedBlockUse(state, run, demand) ||
				!leavesOwnersTheirResources(state, run, demand)
			) {
				return;
			}

			const weights = state.fleet.pools.get(run.rack.fleetRack.rack.pool)?.weights ?? DEFAULT_WEIGHTS;
			const scored = scoredRun(state, run, demand);
			let cost = 0;
			for (const {weight, score} of scores) {
				cost += weight(weights) * score(scored);
			}

			if (cost < (best?.cost ?? Number.POSITIVE_INFINITY)) {
				best = {run, cost};
			}
		},
	);
	return best?.run;
};
