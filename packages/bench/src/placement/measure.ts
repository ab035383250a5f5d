import {build} from 'hdr-histogram-js';
import type {Bundle, RackRecord} from '@bergamotgauge/model';
import {adjacentRuns, occupancyOf} from '@bergamotgauge/placement';

/** Percentile of values to three significant digits; 0 when there are no values. */
export const percentile = (values: readonly number[], percent: number, scale = 1000): number => {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 1e12, numberOfSignificantValueDigits: 3});
	for (const value of values) {
		histogram.recordValue(Math.max(1, Math.round(value * scale)));
	}

	return values.length === 0 ? 0 : histogram.getValueAtPercentile(percent) / scale;
};

export type FreeCounts = Readonly<{free: number; outside: number}>;

const countsByRecord = new WeakMap<RackRecord, FreeCounts>();

/** Free accelerators of a rack on available workers, and those of them outside any free block of the given size. */
export const freeCounts = (
	rack: Bundle['racks'][number],
	record: RackRecord | undefined,
	blockSize: number,
	workersDown: ReadonlySet<string>,
): FreeCounts => {
	const cached = record && workersDown.size === 0 ? countsByRecord.get(record) : undefined;
	if (cached) {
		return cached;
	}

	const isUp = ({name}: {name: string}) => !workersDown.has(name);
	const occupancy = occupancyOf(rack, record);
	const blocks = adjacentRuns(rack, blockSize, isUp, occupancy).flat();
	const inside = new Set(
		blocks.flatMap(({worker, first, count}) => Array.from({length: count}, (_, cell) => `${worker}/${first + cell}`)),
	);
	const free = rack.workers
		.filter((worker) => isUp(worker))
		.reduce((sum, {name}) => sum + occupancy.get(name)!.filter((isTaken) => !isTaken).length, 0);
	const counts = {free, outside: free - inside.size};
	if (record && workersDown.size === 0) {
		countsByRecord.set(record, counts);
	}

	return counts;
};
