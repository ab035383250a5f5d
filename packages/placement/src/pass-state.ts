import type {Block, ReservedBlock, JobClass, JobRecord, Placement} from '@bergamotgauge/model';
import {fleetOf, type Fleet, type FleetRack} from './fleet.js';
import type {PlacementView} from './types.js';

/** Marks costs that have not been computed yet. */
export const UNKNOWN_COST = -1;

/** A placement with the derived data that a pass needs; `token` is unset for placements decided in this pass. */
export type HeldPlacement = Readonly<{
	placement: Omit<Placement, 'token'>;
	rack: number;
	accelerators: number;
	/** Expected end, extended for work that overran it. */
	endMs: number;
	isEvicting: boolean;
	/** True for work that is not urgent and lies outside the blocks reserved for its customer. */
	isBorrowed: boolean;
	/** Absent when the class is no longer declared. */
	jobClass: JobClass | undefined;
	/** Absent when the view has no record of the job. */
	job: JobRecord | undefined;
	/** True for placements decided in this pass. */
	isNew: boolean;
}>;

/** A run reserved for a waiting job; other jobs may backfill it until `readyMs`, when all of it is expected to be free. */
export type JobReservation = Readonly<{job: string; readyMs: number}>;

export type RackState = {
	readonly fleetRack: FleetRack;
	/** Index into `held` by cell; -1 when free. */
	readonly occupant: Int32Array;
	/** Index into `reservedBlocks` by cell; -1 outside reserved blocks. */
	readonly reservedBlock: Int32Array;
	/** Index into `reservations` by cell; -1 when no waiting job has reserved it. */
	readonly reservation: Int32Array;
	readonly isUsable: boolean[];
	readonly isOnProbation: boolean[];
	readonly coresLeft: Float64Array;
	readonly memoryLeft: Float64Array;
	/** Number of free cells. */
	free: number;
	/** Longest run of free cells, across workers too; -1 when outdated. */
	longestFree: number;
	/** Marks by cell whether it lies in a free block of the largest guaranteed shape; absent when outdated. */
	freeBlockCells: Uint8Array | undefined;
};

/** Position of a reserved block; `index` points into `reservedBlocks`. */
export type ReservedBlockLocation = Readonly<{rack: RackState; index: number; first: number; size: number}>;

export type PassState = {
	readonly view: PlacementView;
	readonly fleet: Fleet;
	readonly racks: readonly RackState[];
	/** Racks that have accelerators. */
	readonly usableRacks: readonly RackState[];
	/** Reserved blocks by the customer they are reserved for. */
	readonly reservedBlocksByCustomer: Map<string, ReservedBlockLocation[]>;
	/** Accelerator-seconds that the eviction of a placement loses, by index into `held`; infinite where it is unsafe. */
	readonly evictionCosts: number[];
	/** The same for evictions by urgent work, which have a shorter grace period. */
	readonly urgentEvictionCosts: number[];
	readonly held: HeldPlacement[];
	readonly reservedBlocks: ReservedBlock[];
	readonly reservations: JobReservation[];
	readonly quarantined: ReadonlySet<string>;
	/** Placements by job. */
	readonly heldByJob: Map<string, HeldPlacement>;
	/** Accelerators in use, by customer. */
	readonly heldByCustomer: Map<string, number>;
	/** Accelerators in use, by `pool/partner`. */
	readonly heldByPartner: Map<string, number>;
	/** Accelerators in use by non-preemptible work, by `pool/partner`. */
	readonly nonPreemptibleByPartner: Map<string, number>;
};

export const addToCount = (counts: Map<string, number>, key: string, amount: number): void => {
	counts.set(key, (counts.get(key) ?? 0) + amount);
};

export const acceleratorsOf = (blocks: readonly Block[]): number => {
	let sum = 0;
	for (const block of blocks) {
		sum += block.count;
	}

	return sum;
};

/** Calls `visit` with each cell of the blocks; skips workers and accelerators that the rack doesn't have. */
export const forEachCell = (rack: FleetRack, blocks: readonly Block[], visit: (cell: number) => void): void => {
	for (const block of blocks) {
		const worker = rack.workerIndex.get(block.worker);
		if (worker === undefined) {
			continue;
		}

		const first = rack.firstCell[worker]!;
		const end = Math.min(block.first + block.count, rack.workers[worker]!.accelerators);
		for (let index = block.first; index < end; index += 1) {
			visit(first + index);
		}
	}
};

// Work that overran its expected end is assumed to need another half of the time it has run, and at least a second.
const estimatedEndMs = (placement: Omit<Placement, 'token'>, nowMs: number): number =>
	placement.expectedEndMs > nowMs
		? placement.expectedEndMs
		: nowMs + Math.max(1000, (nowMs - placement.placedAtMs) / 2);

const partnerKeys = new WeakMap<Fleet, Map<string, Map<string, string>>>();

/** Key of a customer's partner in a pool; cached, so that a pass doesn't build the string for every placement. */
const partnerKey = (fleet: Fleet, pool: string, customer: string): string => {
	const pools = partnerKeys.get(fleet) ?? new Map<string, Map<string, string>>();
	partnerKeys.set(fleet, pools);
	const customers = pools.get(pool) ?? new Map<string, string>();
	pools.set(pool, customers);
	const key = customers.get(customer) ?? `${pool}/${fleet.customers.get(customer)?.partner ?? ''}`;
	customers.set(customer, key);
	return key;
};

/** Adds a placement to the state: marks its cells and subtracts its resources. */
export const occupy = (
	state: PassState,
	rackIndex: number,
	placement: Omit<Placement, 'token'>,
	{job, isNew}: Readonly<{job: JobRecord | undefined; isNew: boolean}>,
): void => {
	const rack = state.racks[rackIndex]!;
	const accelerators = acceleratorsOf(placement.blocks);
	const index = state.held.length;
	const jobClass = state.fleet.classes.get(placement.jobClass);
	const held: HeldPlacement = {
		placement,
		rack: rackIndex,
		accelerators,
		endMs: estimatedEndMs(placement, state.view.nowMs),
		isEvicting: placement.phase === 'evicting',
		isBorrowed: placement.guarantee === undefined && jobClass?.urgency !== 'urgent',
		jobClass,
		job,
		isNew,
	};
	state.held.push(held);
	state.evictionCosts.push(UNKNOWN_COST);
	state.urgentEvictionCosts.push(UNKNOWN_COST);
	state.heldByJob.set(placement.job, held);
	forEachCell(rack.fleetRack, placement.blocks, (cell) => {
		if (rack.occupant[cell] === -1) {
			rack.free -= 1;
		}

		rack.occupant[cell] = index;
	});
	rack.freeBlockCells = undefined;
	rack.longestFree = -1;
	addToCount(state.heldByCustomer, placement.customer, accelerators);
	const key = partnerKey(state.fleet, rack.fleetRack.rack.pool, placement.customer);
	addToCount(state.heldByPartner, key, accelerators);
	if (!placement.preemptible) {
		addToCount(state.nonPreemptibleByPartner, key, accelerators);
	}

	if (job) {
		for (const block of placement.blocks) {
			const worker = rack.fleetRack.workerIndex.get(block.worker);
			if (worker !== undefined) {
				rack.coresLeft[worker]! -= block.count * job.coresPerAccelerator;
				rack.memoryLeft[worker]! -= block.count * job.memoryGigabytesPerAccelerator;
			}
		}
	}
};

const createRackState = (view: PlacementView, fleetRack: FleetRack): RackState => {
	const quarantines = view.racks.get(fleetRack.rack.name)?.quarantines ?? [];
	const quarantined = new Set(quarantines.filter(({state}) => state === 'quarantined').map(({worker}) => worker));
	const onProbation = new Set(quarantines.filter(({state}) => state === 'probation').map(({worker}) => worker));
	return {
		fleetRack,
		occupant: new Int32Array(fleetRack.cells).fill(-1),
		reservedBlock: new Int32Array(fleetRack.cells).fill(-1),
		reservation: new Int32Array(fleetRack.cells).fill(-1),
		isUsable: fleetRack.workers.map(({name}) => !view.workersDown.has(name) && !quarantined.has(name)),
		isOnProbation: fleetRack.workers.map(({name}) => onProbation.has(name)),
		coresLeft: Float64Array.from(fleetRack.workers, ({cores}) => cores),
		memoryLeft: Float64Array.from(fleetRack.workers, ({memoryGigabytes}) => memoryGigabytes),
		free: fleetRack.cells,
		longestFree: -1,
		freeBlockCells: undefined,
	};
};

const quarantinedWorkers = (view: PlacementView): Set<string> => {
	const workers = new Set<string>();
	for (const {quarantines} of view.racks.values()) {
		for (const {worker, state} of quarantines) {
			if (state === 'quarantined') {
				workers.add(worker);
			}
		}
	}

	return workers;
};

/** Indexes a view for one pass. `reservedBlocks` replaces the reserved blocks in the rack records. */
export const createPassState = (
	view: PlacementView,
	reservedBlocks: ReadonlyMap<string, readonly ReservedBlock[]>,
): PassState => {
	const fleet = fleetOf(view.bundle);
	const racks = fleet.racks.map((fleetRack) => createRackState(view, fleetRack));
	const state: PassState = {
		view,
		fleet,
		racks,
		usableRacks: racks.filter(({fleetRack}) => fleetRack.cells > 0),
		reservedBlocksByCustomer: new Map(),
		evictionCosts: [],
		urgentEvictionCosts: [],
		held: [],
		reservedBlocks: [],
		reservations: [],
		quarantined: quarantinedWorkers(view),
		heldByJob: new Map(),
		heldByCustomer: new Map(),
		heldByPartner: new Map(),
		nonPreemptibleByPartner: new Map(),
	};
	const jobs = new Map<string, JobRecord>();
	for (const job of view.jobs) {
		jobs.set(job.id, job);
	}

	for (const [rackIndex, rack] of state.racks.entries()) {
		const {name} = rack.fleetRack.rack;
		for (const reservedBlock of reservedBlocks.get(name) ?? view.racks.get(name)?.homes ?? []) {
			const index = state.reservedBlocks.length;
			state.reservedBlocks.push(reservedBlock);
			const cells: number[] = [];
			forEachCell(rack.fleetRack, reservedBlock.blocks, (cell) => {
				rack.reservedBlock[cell] = index;
				cells.push(cell);
			});
			if (cells.length > 0) {
				const location = {rack, index, first: cells[0]!, size: cells.length};
				state.reservedBlocksByCustomer.set(reservedBlock.customer, [
					...(state.reservedBlocksByCustomer.get(reservedBlock.customer) ?? []),
					location,
				]);
			}
		}

		for (const placement of view.racks.get(name)?.placements ?? []) {
			occupy(state, rackIndex, placement, {job: jobs.get(placement.job), isNew: false});
		}
	}

	return state;
};

/** Length of the longest run of free cells in a rack; the search for a longer shape can skip the rack. */
export const longestFreeRun = (rack: RackState): number => {
	if (rack.longestFree === -1) {
		let length = 0;
		let longest = 0;
		for (const occupant of rack.occupant) {
			length = occupant === -1 ? length + 1 : 0;
			longest = Math.max(longest, length);
		}

		rack.longestFree = longest;
	}

	return rack.longestFree;
};
