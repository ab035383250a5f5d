import {rackKey, type RackRecord} from '@bergamotgauge/model';
import {emptyRack, type Context} from './context.js';

/**
Changes a rack record by one compare-and-swap. The change gets the record with its next epoch set; it returns undefined to leave the record as it is.

@example
```ts
await writeRack(context, 'r1', (record) => ({...record, placements: [...record.placements, placement]}));
```

@returns Whether the record was written.
@throws {ServiceError} `store-unavailable`.
*/
export const writeRack = async (
	context: Context,
	rack: string,
	change: (record: RackRecord) => RackRecord | undefined,
): Promise<boolean> => {
	const key = rackKey(rack);
	const entry = context.replica.get(key);
	const current = (entry.value as RackRecord | undefined) ?? emptyRack(rack);
	const next = change({...current, epoch: current.epoch + 1});
	if (!next) {
		return false;
	}

	const result = await context.store.put(key, next, entry.revision);
	if (result.outcome === 'applied') {
		context.publish({key, revision: result.revision, value: next});
		return true;
	}

	context.metrics.count('rack_write_conflicts_total', {rack, outcome: result.outcome});
	if (result.outcome === 'conflict') {
		context.replica.applyOwnWrite(result.current);
	}

	return false;
};
