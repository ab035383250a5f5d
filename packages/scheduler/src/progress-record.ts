import {Buffer} from 'node:buffer';
import {encodeProgress, type PartRecord, type Progress} from '@bergamotgauge/jobs';

/** A progress record of limited size. */
export type FittedRecord = Readonly<{
	value: Uint8Array;
	/** Checkpoints that are left out: without them, a later leader starts their parts from the beginning. */
	omittedCheckpoints: number;
}>;

const withoutCheckpoints = (progress: Progress, keys: ReadonlySet<string>): Progress => ({
	...progress,
	parts: Object.fromEntries(
		Object.entries(progress.parts).map(([key, part]): [string, PartRecord] => [
			key,
			keys.has(key) ? {...part, checkpoint: ''} : part,
		]),
	),
});

/** Keys of the parts whose checkpoints have at least so many bytes together: the largest ones, so that few parts lose theirs. */
const largestCheckpoints = ({parts}: Progress, bytes: number): ReadonlySet<string> => {
	const sizes = Object.entries(parts)
		.map(([key, {checkpoint}]) => ({key, size: Buffer.byteLength(checkpoint)}))
		.filter(({size}) => size > 0)
		.toSorted((a, b) => b.size - a.size);
	const keys = new Set<string>();
	let sum = 0;
	for (const {key, size} of sizes) {
		if (sum >= bytes) {
			break;
		}

		keys.add(key);
		sum += size;
	}

	return keys;
};

/**
Encodes the progress of a job. Checkpoints are left out as far as the record would be larger than `maxBytes`; everything else is kept whatever the size, since later leaders rely on it.

@example
```ts
const {value} = fitProgress(progressOf(activeJob), 1_048_576);
```
*/
export const fitProgress = (progress: Progress, maxBytes: number): FittedRecord => {
	const value = encodeProgress(progress);
	if (value.length <= maxBytes) {
		return {value, omittedCheckpoints: 0};
	}

	const keys = largestCheckpoints(progress, value.length - maxBytes);
	return {value: encodeProgress(withoutCheckpoints(progress, keys)), omittedCheckpoints: keys.size};
};
