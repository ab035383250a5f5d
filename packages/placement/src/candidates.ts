import type {Block, Rack, RackRecord, Worker} from '@bergamotgauge/model';

/** Which accelerators of a rack are taken, by worker and index. */
export type Occupancy = ReadonlyMap<string, readonly boolean[]>;

/**
Marks the accelerators that the placements of a record occupy.

@example
```ts
occupancyOf(rack, record).get('w1'); // [true, true, false, …]
```
*/
export const occupancyOf = (rack: Rack, record: RackRecord | undefined): Occupancy => {
	const occupancy = new Map(
		rack.workers.map((worker) => [worker.name, Array.from({length: worker.accelerators}, () => false)]),
	);
	for (const block of (record?.placements ?? []).flatMap((placement) => placement.blocks)) {
		occupancy.get(block.worker)?.fill(true, block.first, block.first + block.count);
	}

	return occupancy;
};

const runsInWorker = (worker: Worker, taken: readonly boolean[], count: number): Block[] => {
	const runs: Block[] = [];
	for (let first = 0; first + count <= worker.accelerators; first += 1) {
		if (taken.slice(first, first + count).every((isTaken) => !isTaken)) {
			runs.push({worker: worker.name, first, count});
		}
	}

	return runs;
};

const runFromWorker = (workers: readonly Worker[], start: number, count: number): Block[] | undefined => {
	const blocks: Block[] = [];
	let remaining = count;
	for (let index = start; index < workers.length && remaining > 0; index += 1) {
		const worker = workers[index]!;
		const isAdjacent = index === start || worker.position === workers[index - 1]!.position + 1;
		if (!isAdjacent || worker.accelerators === 0) {
			return undefined;
		}

		const taken = Math.min(remaining, worker.accelerators);
		blocks.push({worker: worker.name, first: 0, count: taken});
		remaining -= taken;
	}

	return remaining === 0 ? blocks : undefined;
};

/**
Lists all runs of `count` adjacent accelerators in a rack on workers that `isEligible` admits. A shape that fits a worker stays inside one worker; a larger one starts at a worker boundary.

@example
```ts
adjacentRuns(rack, 16, () => true); // eight accelerators of two neighbouring workers each
```
*/
export const adjacentRuns = (
	rack: Rack,
	count: number,
	isEligible: (worker: Worker) => boolean,
	occupancy?: Occupancy,
): ReadonlyArray<readonly Block[]> => {
	const workers = rack.workers.toSorted((a, b) => a.position - b.position);
	const isFree = (block: Block) =>
		(occupancy?.get(block.worker) ?? []).slice(block.first, block.first + block.count).every((isTaken) => !isTaken);
	const largest = Math.max(0, ...workers.map((worker) => worker.accelerators));
	if (count <= largest) {
		return workers
			.filter((worker) => isEligible(worker))
			.flatMap((worker) => runsInWorker(worker, occupancy?.get(worker.name) ?? [], count))
			.map((block) => [block]);
	}

	const byName = new Map(workers.map((worker) => [worker.name, worker]));
	return workers
		.map((_, start) => runFromWorker(workers, start, count))
		.filter((blocks) => blocks !== undefined)
		.filter((blocks) => blocks.every((block) => isEligible(byName.get(block.worker)!) && isFree(block)));
};
