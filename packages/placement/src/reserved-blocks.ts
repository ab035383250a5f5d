import {matchesSelector, type Guarantee, type ReservedBlock} from '@bergamotgauge/model';
import {workerLabels} from './eligibility.js';
import {fleetOf, type FleetRack} from './fleet.js';
import {forEachCell} from './pass-state.js';
import {blocksOf} from './runs.js';
import type {PlacementView, ReservedBlocksDecision, Shortfall} from './types.js';

export type ReservedBlockPlan = Readonly<{
	decisions: readonly ReservedBlocksDecision[];
	/** Reserved blocks by rack once the decisions are applied. */
	reservedBlocks: ReadonlyMap<string, readonly ReservedBlock[]>;
	shortfalls: readonly Shortfall[];
}>;

/** Weight of each reserved block in the cost of a rack. It exceeds the cells of a rack, so that the choice of rack outweighs the number of borrowed cells in the run. */
const RESERVED_BLOCK_WEIGHT = 128;

type LocatedBlock = Readonly<{rack: FleetRack; reservedBlock: ReservedBlock; isAvailable: boolean}>;

const keyOf = (guarantee: string, index: number): string => `${guarantee}/${index}`;

const runsByGuarantee = new WeakMap<FleetRack, Map<Guarantee, ReadonlySet<number>>>();

/** First cells of the runs on workers that match the guarantee's selector. */
const runStartsOf = (rack: FleetRack, guarantee: Guarantee): ReadonlySet<number> => {
	const known = runsByGuarantee.get(rack) ?? new Map<Guarantee, ReadonlySet<number>>();
	runsByGuarantee.set(rack, known);
	let runs = known.get(guarantee);
	if (!runs) {
		const isMatch = rack.workers.map((worker) => matchesSelector(guarantee.workerSelector, workerLabels(worker)));
		runs = new Set(
			rack.starts(guarantee.accelerators).filter((start) => {
				const lastWorker = rack.workerOfCell[start + guarantee.accelerators - 1]!;
				return isMatch.slice(rack.workerOfCell[start], lastWorker + 1).every(Boolean);
			}),
		);
		known.set(guarantee, runs);
	}

	return runs;
};

/** Sorts guarantees by difficulty of placement: the largest shapes first, then those with the fewest possible runs. */
export const inOrderOfDifficulty = (guarantees: readonly Guarantee[], racks: readonly FleetRack[]): Guarantee[] => {
	const runs = new Map(
		guarantees.map((guarantee) => [
			guarantee.name,
			racks.reduce((sum, rack) => sum + runStartsOf(rack, guarantee).size, 0),
		]),
	);
	return guarantees.toSorted(
		(a, b) =>
			b.accelerators - a.accelerators ||
			runs.get(a.name)! - runs.get(b.name)! ||
			(a.name < b.name ? -1 : Number(a.name > b.name)),
	);
};

const isValid = (rack: FleetRack, reservedBlock: ReservedBlock, guarantee: Guarantee | undefined): boolean => {
	if (!guarantee || reservedBlock.index >= guarantee.count || reservedBlock.customer !== guarantee.customer) {
		return false;
	}

	const cells: number[] = [];
	forEachCell(rack, reservedBlock.blocks, (cell) => {
		cells.push(cell);
	});
	return cells.length === guarantee.accelerators && runStartsOf(rack, guarantee).has(cells[0]!);
};

const isUsable = (view: PlacementView, quarantined: ReadonlySet<string>, worker: string): boolean =>
	!view.workersDown.has(worker) && !quarantined.has(worker);

const occupiedByOthers = (view: PlacementView, rack: FleetRack, customer: string) => {
	const nonPreemptible = new Uint8Array(rack.cells);
	const borrowed = new Uint8Array(rack.cells);
	for (const placement of view.racks.get(rack.rack.name)?.placements ?? []) {
		if (placement.customer !== customer) {
			forEachCell(rack, placement.blocks, (cell) => {
				(placement.preemptible ? borrowed : nonPreemptible)[cell] = 1;
			});
		}
	}

	return {nonPreemptible, borrowed};
};

const hasNonPreemptibleWorkOfOthers = (view: PlacementView, rack: FleetRack, reservedBlock: ReservedBlock): boolean => {
	const {nonPreemptible} = occupiedByOthers(view, rack, reservedBlock.customer);
	let isOccupied = false;
	forEachCell(rack, reservedBlock.blocks, (cell) => {
		isOccupied ||= nonPreemptible[cell] === 1;
	});
	return isOccupied;
};

const locateReservedBlocks = (
	view: PlacementView,
	guarantees: readonly Guarantee[],
	quarantined: ReadonlySet<string>,
) => {
	const byName = new Map(guarantees.map((guarantee) => [guarantee.name, guarantee]));
	const located = new Map<string, LocatedBlock[]>();
	for (const rack of fleetOf(view.bundle).racks) {
		for (const reservedBlock of view.racks.get(rack.rack.name)?.homes ?? []) {
			if (isValid(rack, reservedBlock, byName.get(reservedBlock.guarantee))) {
				const key = keyOf(reservedBlock.guarantee, reservedBlock.index);
				const isAvailable =
					reservedBlock.blocks.every(({worker}) => isUsable(view, quarantined, worker)) &&
					!hasNonPreemptibleWorkOfOthers(view, rack, reservedBlock);
				located.set(key, [...(located.get(key) ?? []), {rack, reservedBlock, isAvailable}]);
			}
		}
	}

	return located;
};

type AllocatedBlocks = Readonly<{
	/** Cells that belong to a reserved block already, by rack. */
	taken: ReadonlyMap<string, Uint8Array>;
	/** Number of reserved blocks by rack. */
	blockCounts: Map<string, number>;
}>;

/** Finds the cheapest run for a new reserved block. Prefers racks that have reserved blocks already, which leaves whole racks to non-preemptible gangs. */
const findNewReservedBlock = (
	view: PlacementView,
	guarantee: Guarantee,
	quarantined: ReadonlySet<string>,
	{taken, blockCounts}: AllocatedBlocks,
): {rack: FleetRack; start: number} | undefined => {
	let best: {rack: FleetRack; start: number; cost: number} | undefined;
	for (const rack of fleetOf(view.bundle).racks) {
		const runs = runStartsOf(rack, guarantee);
		if (runs.size === 0) {
			continue;
		}

		const {nonPreemptible, borrowed} = occupiedByOthers(view, rack, guarantee.customer);
		const takenCells = taken.get(rack.rack.name)!;
		const rackCost = -(blockCounts.get(rack.rack.name) ?? 0) * RESERVED_BLOCK_WEIGHT;
		for (const start of runs) {
			let cost = rackCost;
			for (let cell = start; cell < start + guarantee.accelerators; cell += 1) {
				const worker = rack.workers[rack.workerOfCell[cell]!]!.name;
				if (takenCells[cell] === 1 || nonPreemptible[cell] === 1 || !isUsable(view, quarantined, worker)) {
					cost = Number.POSITIVE_INFINITY;
					break;
				}

				cost += borrowed[cell]!;
			}

			if (cost < (best?.cost ?? Number.POSITIVE_INFINITY)) {
				best = {rack, start, cost};
			}
		}
	}

	return best;
};

const serializeBlocks = (reservedBlocks: readonly ReservedBlock[]): string =>
	JSON.stringify(reservedBlocks.map(({guarantee, index, customer, blocks}) => [guarantee, index, customer, blocks]));

/**
Assigns every guaranteed shape a reserved block on available workers. A block that moves to another rack is first written there; a later pass that sees it there removes the old one, so that the shape has a reserved block at any time. A shape for which no block is possible keeps its old one and is listed in `shortfalls`.

@example
```ts
const {decisions, shortfalls} = planReservedBlocks(view);
```
*/
export const planReservedBlocks = (view: PlacementView): ReservedBlockPlan => {
	const {racks} = fleetOf(view.bundle);
	const guarantees = inOrderOfDifficulty(view.bundle.guarantees, racks);
	const quarantined = new Set(
		[...view.racks.values()].flatMap((record) =>
			record.quarantines.filter(({state}) => state === 'quarantined').map(({worker}) => worker),
		),
	);
	const located = locateReservedBlocks(view, guarantees, quarantined);
	const keptByRack = new Map<string, ReservedBlock[]>(racks.map(({rack}) => [rack.name, []]));
	const taken = new Map(racks.map((rack) => [rack.rack.name, new Uint8Array(rack.cells)]));
	const blockCounts = new Map<string, number>();
	const keep = (rack: FleetRack, reservedBlock: ReservedBlock) => {
		keptByRack.get(rack.rack.name)!.push(reservedBlock);
		blockCounts.set(rack.rack.name, (blockCounts.get(rack.rack.name) ?? 0) + 1);
		forEachCell(rack, reservedBlock.blocks, (cell) => {
			taken.get(rack.rack.name)![cell] = 1;
		});
	};

	const overlapsKept = (rack: FleetRack, reservedBlock: ReservedBlock): boolean => {
		let isTaken = false;
		forEachCell(rack, reservedBlock.blocks, (cell) => {
			isTaken ||= taken.get(rack.rack.name)![cell] === 1;
		});
		return isTaken;
	};

	const missing: Array<{guarantee: Guarantee; index: number; old: LocatedBlock | undefined}> = [];
	for (const guarantee of guarantees) {
		for (let index = 0; index < guarantee.count; index += 1) {
			const candidates = (located.get(keyOf(guarantee.name, index)) ?? []).filter(
				({rack, reservedBlock}) => !overlapsKept(rack, reservedBlock),
			);
			const current = candidates.find(({isAvailable}) => isAvailable);
			if (current) {
				keep(current.rack, current.reservedBlock);
			} else {
				missing.push({guarantee, index, old: candidates[0]});
			}
		}
	}

	const additions = new Map<string, string[]>();
	const shortfalls: Shortfall[] = [];
	for (const {guarantee, index, old} of missing) {
		const found = findNewReservedBlock(view, guarantee, quarantined, {taken, blockCounts});
		if (found) {
			const {rack, start} = found;
			const name = keyOf(guarantee.name, index);
			keep(rack, {
				guarantee: guarantee.name,
				index,
				customer: guarantee.customer,
				blocks: blocksOf(rack, start, guarantee.accelerators),
			});
			additions.set(rack.rack.name, [...(additions.get(rack.rack.name) ?? []), name]);
		} else {
			shortfalls.push({
				guarantee: guarantee.name,
				index,
				customer: guarantee.customer,
				accelerators: guarantee.accelerators,
				reason: `no ${guarantee.accelerators} adjacent accelerators on available matching workers are free of other reserved blocks and of work that can't be evicted`,
			});
		}

		// The old block in another rack stays until a later pass sees the new one. A shape without a new block keeps the old one, for when its workers return.
		if (old && found?.rack !== old.rack && !overlapsKept(old.rack, old.reservedBlock)) {
			keep(old.rack, old.reservedBlock);
		}
	}

	const decisions: ReservedBlocksDecision[] = [];
	for (const {rack} of racks) {
		const reservedBlocks = keptByRack.get(rack.name)!;
		const before = view.racks.get(rack.name)?.homes ?? [];
		reservedBlocks.sort(
			(a, b) => (a.guarantee < b.guarantee ? -1 : Number(a.guarantee > b.guarantee)) || a.index - b.index,
		);
		if (serializeBlocks(reservedBlocks) !== serializeBlocks(before)) {
			const added = additions.get(rack.name) ?? [];
			const reason =
				added.length > 0
					? `added reserved blocks for ${added.join(', ')}`
					: 'removed reserved blocks that moved to another rack or are no longer declared';
			decisions.push({kind: 'homes', rack: rack.name, homes: reservedBlocks, reason});
		}
	}

	const isAddition = (decision: ReservedBlocksDecision) => Number(additions.has(decision.rack));
	return {
		decisions: decisions.toSorted((a, b) => isAddition(b) - isAddition(a)),
		reservedBlocks: keptByRack,
		shortfalls,
	};
};
