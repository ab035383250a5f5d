import {rackKey, type RackRecord} from '@bergamotgauge/model';
import {createGroupCommit, type GroupCommit} from '@bergamotgauge/platform';
import {emptyRack, type Context} from './context.js';

/** A change of a rack record; undefined leaves the record as it is. */
export type RackChange = (record: RackRecord) => RackRecord | undefined;

/** Writes rack records. */
export type RackWriter = Readonly<{
	/** Changes a record by compare-and-swap; gives whether the record was changed. */
	write: (rack: string, change: RackChange) => Promise<boolean>;
}>;

/**
Creates the writer of rack records. Concurrent changes of one rack go into one write, so that a wave of cancellations costs few writes for each rack.

@example
```ts
const racks = createRackWriter(context);
await racks.write('r1', (record) => withPlacement(record, placement));
```

@throws {ServiceError} `store-unavailable`, with the verdict of the write.
*/
export const createRackWriter = (context: Context): RackWriter => {
	const commits = new Map<string, GroupCommit<RackRecord>>();

	const commitOf = (rack: string): GroupCommit<RackRecord> => {
		let commit = commits.get(rack);
		if (!commit) {
			const key = rackKey(rack);
			commit = createGroupCommit<RackRecord>({
				store: context.store,
				key,
				empty: emptyRack(rack),
				known: () => context.replica.get(key),
				onWritten: context.publish,
			});
			commits.set(rack, commit);
		}

		return commit;
	};

	return {
		write: async (rack, change) =>
			commitOf(rack).submit((record) => {
				// The change sees the epoch that its own write will have, which is the token of a new placement.
				const next = change({...record, epoch: record.epoch + 1});
				return next ? {value: next, result: true} : {value: record, result: false};
			}),
	};
};
