import {Buffer} from 'node:buffer';
import {ServiceError} from '@bergamotgauge/model';
import {decode, encode} from 'cbor-x';
import {FRAME_HEADER_BYTES, MAX_FRAME_BYTES} from './constants.js';
import type {Frame} from './types.js';

const frameTooLargeError = (bytes: number, maxBytes: number): ServiceError =>
	new ServiceError(`frame of ${bytes} bytes exceeds the limit of ${maxBytes}`, {
		code: 'too-large',
		verdict: 'not-run',
	});

/**
Encodes a frame as a four-byte length and its CBOR body.

@throws {ServiceError} `too-large` when the body exceeds `MAX_FRAME_BYTES`.
*/
export const encodeFrame = (frame: Frame): Buffer => {
	const body = encode(frame);
	if (body.length > MAX_FRAME_BYTES) {
		throw frameTooLargeError(body.length, MAX_FRAME_BYTES);
	}

	const header = Buffer.alloc(FRAME_HEADER_BYTES);
	header.writeUInt32BE(body.length);
	return Buffer.concat([header, body]);
};

/**
Splits a byte stream into frames.

@example
```ts
const reader = createFrameReader();
for (const frame of reader.push(chunk)) {
	handle(frame);
}
```

@throws {ServiceError} `too-large` when a frame's length exceeds `maxBytes`; the connection must then be closed.
*/
export const createFrameReader = (maxBytes = MAX_FRAME_BYTES) => {
	let chunks: Buffer[] = [];
	let size = 0;

	const consume = (bytes: number): Buffer => {
		const all = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
		chunks = [all.subarray(bytes)];
		size -= bytes;
		return all.subarray(0, bytes);
	};

	const peekLength = (): number => {
		if (chunks[0]!.length < FRAME_HEADER_BYTES) {
			chunks = [Buffer.concat(chunks)];
		}

		return chunks[0]!.readUInt32BE(0);
	};

	return {
		push(chunk: Buffer): Frame[] {
			chunks.push(chunk);
			size += chunk.length;
			const frames: Frame[] = [];
			for (;;) {
				if (size < FRAME_HEADER_BYTES) {
					break;
				}

				const length = peekLength();
				if (length > maxBytes) {
					throw frameTooLargeError(length, maxBytes);
				}

				if (size < FRAME_HEADER_BYTES + length) {
					break;
				}

				frames.push(decode(consume(FRAME_HEADER_BYTES + length).subarray(FRAME_HEADER_BYTES)) as Frame);
			}

			return frames;
		},
	};
};
