import type {Bundle, Customer, JobClass, JobRecord, Pool, Rack, Worker} from '@bergamotgauge/model';
import {eligibleWorker} from './eligibility.js';

/** A rack with its accelerators numbered worker by worker; a number is called a cell. */
export type FleetRack = Readonly<{
	index: number;
	rack: Rack;
	/** In order of their position. */
	workers: readonly Worker[];
	workerIndex: ReadonlyMap<string, number>;
	/** First cell of each worker. */
	firstCell: readonly number[];
	/** Index of the worker of each cell. */
	workerOfCell: readonly number[];
	cells: number;
	/** Accelerators of the largest worker. */
	largest: number;
	/** First cells of all runs that a shape of the given size may occupy. */
	starts: (accelerators: number) => readonly number[];
}>;

/** For each rack, whether a job may run on each worker. */
export type Eligibility = ReadonlyArray<readonly boolean[]>;

/** Lookup tables derived from the declarations alone. */
export type Fleet = Readonly<{
	racks: readonly FleetRack[];
	rackIndex: ReadonlyMap<string, number>;
	classes: ReadonlyMap<string, JobClass>;
	customers: ReadonlyMap<string, Customer>;
	pools: ReadonlyMap<string, Pool>;
	poolAccelerators: ReadonlyMap<string, number>;
	/** Accelerators of the largest guaranteed shape. */
	largestShape: number;
	eligibility: (job: JobRecord) => Eligibility;
}>;

const computeStarts = (workers: readonly Worker[], firstCell: readonly number[], accelerators: number): number[] => {
	const largest = Math.max(0, ...workers.map((worker) => worker.accelerators));
	const starts: number[] = [];
	for (const [index, worker] of workers.entries()) {
		if (accelerators <= largest) {
			for (let first = 0; first + accelerators <= worker.accelerators; first += 1) {
				starts.push(firstCell[index]! + first);
			}

			continue;
		}

		let remaining = accelerators - worker.accelerators;
		let next = index + 1;
		while (
			remaining > 0 &&
			next < workers.length &&
			workers[next]!.position === workers[next - 1]!.position + 1 &&
			workers[next - 1]!.accelerators > 0
		) {
			remaining -= workers[next]!.accelerators;
			next += 1;
		}

		if (remaining <= 0 && worker.accelerators > 0) {
			starts.push(firstCell[index]!);
		}
	}

	return starts;
};

const fleetRack = (rack: Rack, index: number): FleetRack => {
	const workers = rack.workers.toSorted((a, b) => a.position - b.position);
	const firstCell: number[] = [];
	const workerOfCell: number[] = [];
	for (const [workerIndex, worker] of workers.entries()) {
		firstCell.push(workerOfCell.length);
		for (let cell = 0; cell < worker.accelerators; cell += 1) {
			workerOfCell.push(workerIndex);
		}
	}

	const startsBySize = new Map<number, readonly number[]>();
	return {
		index,
		rack,
		workers,
		workerIndex: new Map(workers.map((worker, position) => [worker.name, position])),
		firstCell,
		workerOfCell,
		cells: workerOfCell.length,
		largest: Math.max(0, ...workers.map((worker) => worker.accelerators)),
		starts(accelerators) {
			let starts = startsBySize.get(accelerators);
			if (!starts) {
				starts = computeStarts(workers, firstCell, accelerators);
				startsBySize.set(accelerators, starts);
			}

			return starts;
		},
	};
};

const createFleet = (bundle: Bundle): Fleet => {
	const racks = bundle.racks.map((rack, index) => fleetRack(rack, index));
	const byJob = new WeakMap<JobRecord, Eligibility>();
	const byDemand = new Map<string, Eligibility>();
	const poolAccelerators = new Map<string, number>();
	for (const {rack, cells} of racks) {
		poolAccelerators.set(rack.pool, (poolAccelerators.get(rack.pool) ?? 0) + cells);
	}

	return {
		racks,
		rackIndex: new Map(racks.map(({rack}, index) => [rack.name, index])),
		classes: new Map(bundle.jobClasses.map((jobClass) => [jobClass.name, jobClass])),
		customers: new Map(bundle.customers.map((customer) => [customer.name, customer])),
		pools: new Map(bundle.pools.map((pool) => [pool.name, pool])),
		poolAccelerators,
		largestShape: Math.max(1, ...bundle.guarantees.map((guarantee) => guarantee.accelerators)),
		eligibility(job) {
			let known = byJob.get(job);
			if (known) {
				return known;
			}

			// Jobs with the same demand share one table, so a burst of equal jobs evaluates its selectors once.
			const demand = JSON.stringify([
				job.workerSelector,
				bundle.placementRules.length > 0 ? job.labels : '',
				job.accelerators,
				job.coresPerAccelerator,
				job.memoryGigabytesPerAccelerator,
			]);
			known = byDemand.get(demand);
			if (!known) {
				const isEligible = eligibleWorker(bundle, job);
				known = racks.map(({workers}) => workers.map((worker) => isEligible(worker)));
				byDemand.set(demand, known);
			}

			byJob.set(job, known);
			return known;
		},
	};
};

const fleets = new WeakMap<Bundle, Fleet>();

/** Returns the lookup tables of a bundle, computed once for each bundle. */
export const fleetOf = (bundle: Bundle): Fleet => {
	let fleet = fleets.get(bundle);
	if (!fleet) {
		fleet = createFleet(bundle);
		fleets.set(bundle, fleet);
	}

	return fleet;
};
