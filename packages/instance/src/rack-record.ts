import type {Block, ReservedBlock, Placement, RackRecord} from '@bergamotgauge/model';

const overlaps = (a: Block, b: Block): boolean =>
	a.worker === b.worker && a.first < b.first + b.count && b.first < a.first + a.count;

const overlapsAny = (blocks: readonly Block[], others: readonly Block[]): boolean =>
	blocks.some((block) => others.some((other) => overlaps(block, other)));

const isReservedBlockConflict = (reservedBlock: ReservedBlock, placement: Omit<Placement, 'token'>): boolean =>
	!placement.preemptible &&
	reservedBlock.customer !== placement.customer &&
	overlapsAny(placement.blocks, reservedBlock.blocks);

/**
Adds a placement to a record whose epoch is already that of the next write. The record may have changed since the decision, so the constraints within one record are checked again.

@example
```ts
await racks.write('r1', (record) => withPlacement(record, placement));
```

@returns Undefined when the accelerators are taken, the job is already placed, or the placement is non-preemptible and overlaps a block reserved for another customer.
*/
export const withPlacement = (record: RackRecord, placement: Omit<Placement, 'token'>): RackRecord | undefined => {
	const isRefused =
		record.placements.some((other) => other.job === placement.job || overlapsAny(placement.blocks, other.blocks)) ||
		record.homes.some((reservedBlock) => isReservedBlockConflict(reservedBlock, placement));
	return isRefused ? undefined : {...record, placements: [...record.placements, {...placement, token: record.epoch}]};
};

/** Marks a job's placement for eviction. A placement that is already being evicted keeps its deadline. */
export const withEviction = (record: RackRecord, job: string, evictByMs: number): RackRecord | undefined => {
	const isEvictable = record.placements.some((placement) => placement.job === job && placement.phase === 'placed');
	return isEvictable
		? {
				...record,
				placements: record.placements.map((placement) =>
					placement.job === job ? {...placement, phase: 'evicting', evictByMs, expectedEndMs: evictByMs} : placement,
				),
			}
		: undefined;
};
