import type {Block, Home, Placement, RackRecord} from '@bergamotgauge/model';

const overlaps = (a: Block, b: Block): boolean =>
	a.worker === b.worker && a.first < b.first + b.count && b.first < a.first + a.count;

const overlapsAny = (blocks: readonly Block[], others: readonly Block[]): boolean =>
	blocks.some((block) => others.some((other) => overlaps(block, other)));

const isForbiddenHome = (home: Home, placement: Omit<Placement, 'token'>): boolean =>
	!placement.preemptible && home.customer !== placement.customer && overlapsAny(placement.blocks, home.blocks);

/**
Adds a placement to a record whose epoch is already that of the next write. The record may have changed since the decision was made, so the rules that one record can check are checked again.

@example
```ts
await writeRack(context, 'r1', (record) => withPlacement(record, placement));
```

@returns Undefined when the accelerators are taken, the job is placed already, or the placement would block another customer's home.
*/
export const withPlacement = (record: RackRecord, placement: Omit<Placement, 'token'>): RackRecord | undefined => {
	const isRefused =
		record.placements.some((other) => other.job === placement.job || overlapsAny(placement.blocks, other.blocks)) ||
		record.homes.some((home) => isForbiddenHome(home, placement));
	return isRefused ? undefined : {...record, placements: [...record.placements, {...placement, token: record.epoch}]};
};

/** Marks a job's placement for eviction. A placement that is evicted already keeps its deadline. */
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
