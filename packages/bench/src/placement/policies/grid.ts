import type {Block, JobRecord, Rack} from '@bergamotgauge/model';
import {adjacentRuns, occupancyOf, type Decision, type PlacementView} from '@bergamotgauge/placement';

/** Occupancy of the accelerators for the baselines, which support neither reserved blocks nor eviction. */
export type Grid = {
	readonly view: PlacementView;
	readonly taken: Map<string, Map<string, boolean[]>>;
	readonly acceleratorsByCustomer: Map<string, number>;
	/** Ids of the jobs that are placed already. */
	readonly placed: Set<string>;
};

export type Place = Readonly<{rack: Rack; blocks: readonly Block[]}>;

export const createGrid = (view: PlacementView): Grid => {
	const grid: Grid = {view, taken: new Map(), acceleratorsByCustomer: new Map(), placed: new Set()};
	for (const rack of view.bundle.racks) {
		const record = view.racks.get(rack.name);
		const occupancy = occupancyOf(rack, record);
		grid.taken.set(rack.name, new Map([...occupancy].map(([worker, taken]) => [worker, [...taken]])));
		for (const {job, customer, blocks} of record?.placements ?? []) {
			grid.placed.add(job);
			grid.acceleratorsByCustomer.set(
				customer,
				(grid.acceleratorsByCustomer.get(customer) ?? 0) + blocks.reduce((sum, {count}) => sum + count, 0),
			);
		}
	}

	return grid;
};

const runsByRack = new WeakMap<Rack, Map<number, ReadonlyArray<readonly Block[]>>>();

/** All runs of adjacent accelerators of a size on an empty rack, cached by rack and size. */
const runsOf = (rack: Rack, accelerators: number): ReadonlyArray<readonly Block[]> => {
	const runsBySize = runsByRack.get(rack) ?? new Map<number, ReadonlyArray<readonly Block[]>>();
	runsByRack.set(rack, runsBySize);
	let cachedRuns = runsBySize.get(accelerators);
	if (!cachedRuns) {
		cachedRuns = adjacentRuns(rack, accelerators, () => true, occupancyOf(rack, undefined));
		runsBySize.set(accelerators, cachedRuns);
	}

	return cachedRuns;
};

export const isAllowed = ({view}: Grid, job: JobRecord, blocks: readonly Block[]): boolean =>
	blocks.every(({worker}) => !view.workersDown.has(worker) && !job.failedOn.includes(worker));

const isFree = (taken: ReadonlyMap<string, readonly boolean[]>, blocks: readonly Block[]): boolean => {
	for (const {worker, first, count} of blocks) {
		const cells = taken.get(worker)!;
		for (let cell = first; cell < first + count; cell += 1) {
			if (cells[cell]) {
				return false;
			}
		}
	}

	return true;
};

/** Visits the runs of adjacent accelerators on which the job may be placed, free or not, until `visit` returns `true`. */
export const forEachRun = (grid: Grid, job: JobRecord, visit: (place: Place) => boolean): void => {
	for (const rack of grid.view.bundle.racks) {
		for (const blocks of runsOf(rack, job.accelerators)) {
			if (isAllowed(grid, job, blocks) && visit({rack, blocks})) {
				return;
			}
		}
	}
};

export const isPlaceFree = (grid: Grid, {rack, blocks}: Place): boolean => isFree(grid.taken.get(rack.name)!, blocks);

export const freeOnWorkers = (grid: Grid, {rack, blocks}: Place): number =>
	blocks.reduce(
		(sum, {worker}) =>
			sum +
			grid.taken
				.get(rack.name)!
				.get(worker)!
				.filter((cell) => !cell).length,
		0,
	);

export const firstFit = (grid: Grid, job: JobRecord): Place | undefined => {
	let found: Place | undefined;
	forEachRun(grid, job, (place) => {
		found = isPlaceFree(grid, place) ? place : undefined;
		return found !== undefined;
	});
	return found;
};

/** Best fit: the free run on the workers with the fewest free accelerators. */
export const bestFit = (grid: Grid, job: JobRecord): Place | undefined => {
	let best: {place: Place; free: number} | undefined;
	forEachRun(grid, job, (place) => {
		if (isPlaceFree(grid, place)) {
			const free = freeOnWorkers(grid, place);
			if (free < (best?.free ?? Number.POSITIVE_INFINITY)) {
				best = {place, free};
			}
		}

		return false;
	});
	return best?.place;
};

export const isOverQuota = (grid: Grid, job: JobRecord): boolean => {
	const quota = grid.view.bundle.customers.find(({name}) => name === job.customer)?.quota.accelerators ?? 0;
	return (grid.acceleratorsByCustomer.get(job.customer) ?? 0) + job.accelerators > quota;
};

export const placeAt = (grid: Grid, job: JobRecord, {rack, blocks}: Place): Decision => {
	for (const {worker, first, count} of blocks) {
		grid.taken
			.get(rack.name)!
			.get(worker)!
			.fill(true, first, first + count);
	}

	grid.acceleratorsByCustomer.set(
		job.customer,
		(grid.acceleratorsByCustomer.get(job.customer) ?? 0) + job.accelerators,
	);
	const {nowMs} = grid.view;
	return {
		kind: 'place',
		rack: rack.name,
		placement: {
			job: job.id,
			attempt: job.attempt,
			customer: job.customer,
			jobClass: job.jobClass,
			blocks,
			preemptible: false,
			phase: 'placed',
			placedAtMs: nowMs,
			expectedEndMs: nowMs + job.declaredSeconds * 1000,
		},
		reason: 'free',
	};
};
