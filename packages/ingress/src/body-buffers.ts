import {Buffer} from 'node:buffer';
import {MIN_SPARE_BUFFER_BYTES} from './constants.js';

/** Memory for bodies. */
export type BodyBuffers = Readonly<{
	/** Returns a buffer of exactly `size` bytes with any content; it belongs to the caller until it is given back. */
	take: (size: number) => Buffer;
	/** Takes back the memory of a buffer, or of a part of one, from `take`; to be called once, when nothing reads it any more. */
	giveBack: (buffer: Buffer) => void;
}>;

/**
Creates the memory for bodies. Large buffers are used again: the memory of collected ones stays with the process for a while, since the allocator of the C library keeps what it cannot join, and a crowd of refused bodies then takes tens of megabytes.

@example
```ts
const buffers = createBodyBuffers(1_048_576);
const buffer = buffers.take(262_144);
buffers.giveBack(buffer);
```

@param maxSpareBytes Most bytes that are kept for further bodies.
*/
export const createBodyBuffers = (maxSpareBytes: number): BodyBuffers => {
	const spares: ArrayBufferLike[] = [];
	let spareBytes = 0;
	return {
		take(size) {
			// A much larger one would take more memory than the budget counts for this body.
			const index = spares.findIndex(({byteLength}) => byteLength >= size && byteLength <= size * 2);
			const [spare] = index === -1 ? [] : spares.splice(index, 1);
			spareBytes -= spare?.byteLength ?? 0;
			return spare ? Buffer.from(spare, 0, size) : Buffer.allocUnsafeSlow(size);
		},
		giveBack({buffer}) {
			if (buffer.byteLength >= MIN_SPARE_BUFFER_BYTES && spareBytes + buffer.byteLength <= maxSpareBytes) {
				spares.push(buffer);
				spareBytes += buffer.byteLength;
			}
		},
	};
};
