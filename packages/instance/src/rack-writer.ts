import {rackKey, toServiceError, type RackRecord} from '@bergamotgauge/model';
import {createGroupCommit, type GroupCommit} from '@bergamotgauge/store';
import {RACK_BATCH_MS} from './constants.js';
import {emptyRack, type Context} from './context.js';

/** A change of a rack record; undefined leaves the record as it is. */
export type RackChange = (record: RackRecord) => RackRecord | undefined;

/** Writes rack records. */
export type RackWriter = Readonly<{
	/** Changes a record by compare-and-swap; resolves to whether the record was changed. */
	write: (rack: string, change: RackChange) => Promise<boolean>;
}>;

type PendingChange = Readonly<{
	change: RackChange;
	resolve: (isChanged: boolean) => void;
	reject: (error: Error) => void;
}>;

/** Applies changes in order. Each sees the epoch that the write will have, which is the token of a new placement. */
const applyBatch = (record: RackRecord, batch: readonly PendingChange[]) => {
	const result: boolean[] = [];
	let value: RackRecord = {...record, epoch: record.epoch + 1};
	for (const {change} of batch) {
		const next = change(value);
		result.push(next !== undefined);
		value = next ?? value;
	}

	return {value: result.includes(true) ? value : record, result};
};

/**
Creates the writer of rack records. Changes of one rack that arrive within `RACK_BATCH_MS` are batched into one write, so that a burst of cancellations costs one write for each rack.

@example
```ts
const racks = createRackWriter(context);
await racks.write('r1', (record) => withPlacement(record, placement));
```

@throws {ServiceError} `store-unavailable`, with the verdict of the write.
*/
export const createRackWriter = (context: Context): RackWriter => {
	const commits = new Map<string, GroupCommit<RackRecord>>();
	const batches = new Map<string, PendingChange[]>();

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

	const write = async (rack: string, batch: readonly PendingChange[]): Promise<void> => {
		try {
			const results = await commitOf(rack).submit((record) => applyBatch(record, batch));
			for (const [index, {resolve}] of batch.entries()) {
				resolve(results[index] ?? false);
			}
		} catch (error) {
			for (const {reject} of batch) {
				reject(toServiceError(error, 'may-have-run'));
			}
		}
	};

	return {
		write: async (rack, change) =>
			new Promise<boolean>((resolve, reject) => {
				const batch = batches.get(rack);
				if (batch) {
					batch.push({change, resolve, reject});
					return;
				}

				const newBatch: PendingChange[] = [{change, resolve, reject}];
				batches.set(rack, newBatch);
				setTimeout(() => {
					batches.delete(rack);
					void write(rack, newBatch);
				}, RACK_BATCH_MS);
			}),
	};
};
