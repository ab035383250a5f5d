import {matchesSelector, type Guarantee, type Home} from '@bergamotgauge/model';
import {workerLabels} from './eligibility.js';
import {fleetOf, type FleetRack} from './fleet.js';
import {forEachCell} from './pass-state.js';
import {blocksOf} from './windows.js';
import type {HomesDecision, PlacementView, Shortfall} from './types.js';

export type HomePlan = Readonly<{
	decisions: readonly HomesDecision[];
	/** Homes by rack after the decisions. */
	homes: ReadonlyMap<string, readonly Home[]>;
	shortfalls: readonly Shortfall[];
}>;

/** More than the cells of a rack, so that the rack decides before the borrowers in it. */
const MAX_CELLS = 128;

type Located = Readonly<{rack: FleetRack; home: Home; isAvailable: boolean}>;

const keyOf = (guarantee: string, index: number): string => `${guarantee}/${index}`;

const knownRuns = new WeakMap<FleetRack, Map<Guarantee, ReadonlySet<number>>>();

/** First cells of the runs on workers that match the guarantee's selector. */
const runsOf = (rack: FleetRack, guarantee: Guarantee): ReadonlySet<number> => {
	const known = knownRuns.get(rack) ?? new Map<Guarantee, ReadonlySet<number>>();
	knownRuns.set(rack, known);
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

/** Guarantees with the hardest to place first: large shapes, then those with few possible runs. */
export const inOrderOfDifficulty = (guarantees: readonly Guarantee[], racks: readonly FleetRack[]): Guarantee[] => {
	const runs = new Map(
		guarantees.map((guarantee) => [guarantee.name, racks.reduce((sum, rack) => sum + runsOf(rack, guarantee).size, 0)]),
	);
	return guarantees.toSorted(
		(a, b) =>
			b.accelerators - a.accelerators ||
			runs.get(a.name)! - runs.get(b.name)! ||
			(a.name < b.name ? -1 : Number(a.name > b.name)),
	);
};

const isValid = (rack: FleetRack, home: Home, guarantee: Guarantee | undefined): boolean => {
	if (!guarantee || home.index >= guarantee.count || home.customer !== guarantee.customer) {
		return false;
	}

	const cells: number[] = [];
	forEachCell(rack, home.blocks, (cell) => {
		cells.push(cell);
	});
	return cells.length === guarantee.accelerators && runsOf(rack, guarantee).has(cells[0]!);
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

const hasFirmWorkOfOthers = (view: PlacementView, rack: FleetRack, home: Home): boolean => {
	const {nonPreemptible} = occupiedByOthers(view, rack, home.customer);
	let isOccupied = false;
	forEachCell(rack, home.blocks, (cell) => {
		isOccupied ||= nonPreemptible[cell] === 1;
	});
	return isOccupied;
};

const findHomes = (view: PlacementView, guarantees: readonly Guarantee[], quarantined: ReadonlySet<string>) => {
	const byName = new Map(guarantees.map((guarantee) => [guarantee.name, guarantee]));
	const located = new Map<string, Located[]>();
	for (const rack of fleetOf(view.bundle).racks) {
		for (const home of view.racks.get(rack.rack.name)?.homes ?? []) {
			if (isValid(rack, home, byName.get(home.guarantee))) {
				const key = keyOf(home.guarantee, home.index);
				const isAvailable =
					home.blocks.every(({worker}) => isUsable(view, quarantined, worker)) &&
					!hasFirmWorkOfOthers(view, rack, home);
				located.set(key, [...(located.get(key) ?? []), {rack, home, isAvailable}]);
			}
		}
	}

	return located;
};

type Cells = Readonly<{
	/** Cells that no further home may take, by rack. */
	taken: ReadonlyMap<string, Uint8Array>;
	/** Accelerators in homes by rack. */
	inHomes: Map<string, number>;
}>;

/** Prefers racks that hold homes already, which leaves whole racks to gangs that can't be evicted. */
const findNewHome = (
	view: PlacementView,
	guarantee: Guarantee,
	quarantined: ReadonlySet<string>,
	{taken, inHomes}: Cells,
): {rack: FleetRack; start: number} | undefined => {
	let best: {rack: FleetRack; start: number; cost: number} | undefined;
	for (const rack of fleetOf(view.bundle).racks) {
		const runs = runsOf(rack, guarantee);
		if (runs.size === 0) {
			continue;
		}

		const {nonPreemptible, borrowed} = occupiedByOthers(view, rack, guarantee.customer);
		const takenCells = taken.get(rack.rack.name)!;
		const rackCost = -(inHomes.get(rack.rack.name) ?? 0) * MAX_CELLS;
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

const keyedHomes = (homes: readonly Home[]): string =>
	JSON.stringify(homes.map(({guarantee, index, customer, blocks}) => [guarantee, index, customer, blocks]));

/**
Gives every guaranteed shape a home on available workers. A home that moves to another rack is written there first; the pass that sees it there removes the old one. A shape without a possible home keeps its old one and is named in `shortfalls`.

@example
```ts
const {decisions, shortfalls} = planHomes(view);
```
*/
export const planHomes = (view: PlacementView): HomePlan => {
	const {racks} = fleetOf(view.bundle);
	const guarantees = inOrderOfDifficulty(view.bundle.guarantees, racks);
	const quarantined = new Set(
		[...view.racks.values()].flatMap((record) =>
			record.quarantines.filter(({state}) => state === 'quarantined').map(({worker}) => worker),
		),
	);
	const located = findHomes(view, guarantees, quarantined);
	const kept = new Map<string, Home[]>(racks.map(({rack}) => [rack.name, []]));
	const taken = new Map(racks.map((rack) => [rack.rack.name, new Uint8Array(rack.cells)]));
	const inHomes = new Map<string, number>();
	const keep = (rack: FleetRack, home: Home) => {
		kept.get(rack.rack.name)!.push(home);
		inHomes.set(rack.rack.name, (inHomes.get(rack.rack.name) ?? 0) + 1);
		forEachCell(rack, home.blocks, (cell) => {
			taken.get(rack.rack.name)![cell] = 1;
		});
	};

	const overlapsKept = (rack: FleetRack, home: Home): boolean => {
		let isTaken = false;
		forEachCell(rack, home.blocks, (cell) => {
			isTaken ||= taken.get(rack.rack.name)![cell] === 1;
		});
		return isTaken;
	};

	const missing: Array<{guarantee: Guarantee; index: number; old: Located | undefined}> = [];
	for (const guarantee of guarantees) {
		for (let index = 0; index < guarantee.count; index += 1) {
			const homes = (located.get(keyOf(guarantee.name, index)) ?? []).filter(
				({rack, home}) => !overlapsKept(rack, home),
			);
			const current = homes.find(({isAvailable}) => isAvailable);
			if (current) {
				keep(current.rack, current.home);
			} else {
				missing.push({guarantee, index, old: homes[0]});
			}
		}
	}

	const additions = new Map<string, string[]>();
	const shortfalls: Shortfall[] = [];
	for (const {guarantee, index, old} of missing) {
		const found = findNewHome(view, guarantee, quarantined, {taken, inHomes});
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
				reason: `no ${guarantee.accelerators} adjacent accelerators on available matching workers are free of other homes and of work that can't be evicted`,
			});
		}

		// Another rack's old home stays until the new one is seen there; a shortfall keeps its home for when the workers return.
		if (old && found?.rack !== old.rack && !overlapsKept(old.rack, old.home)) {
			keep(old.rack, old.home);
		}
	}

	const decisions: HomesDecision[] = [];
	for (const {rack} of racks) {
		const homes = kept.get(rack.name)!;
		const before = view.racks.get(rack.name)?.homes ?? [];
		homes.sort((a, b) => (a.guarantee < b.guarantee ? -1 : Number(a.guarantee > b.guarantee)) || a.index - b.index);
		if (keyedHomes(homes) !== keyedHomes(before)) {
			const added = additions.get(rack.name) ?? [];
			const reason =
				added.length > 0 ? `homes for ${added.join(', ')}` : 'homes that are elsewhere now or no longer declared';
			decisions.push({kind: 'homes', rack: rack.name, homes, reason});
		}
	}

	const isAddition = (decision: HomesDecision) => Number(additions.has(decision.rack));
	return {decisions: decisions.toSorted((a, b) => isAddition(b) - isAddition(a)), homes: kept, shortfalls};
};
