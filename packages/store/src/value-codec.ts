import {STORE_VALUE_LIMIT_BYTES, STORE_VALUE_MARGIN_BYTES, ServiceError} from '@bergamotgauge/model';
import {decode, encode} from 'cbor-x';
import {VALUE_SCHEMA_VERSION} from './constants.js';
import type {Operation} from './types.js';

/** A stored value with the most recent operations on its key. */
export type Envelope = Readonly<{
	schema: number;
	/** Newest first. */
	operations: readonly Operation[];
	data: unknown;
}>;

/**
Encodes a value for the store.

@example
```ts
const bytes = encodeValue([{id: '0198…', expectedRevision: 0}], {jobs: {}});
```

@throws {ServiceError} `too-large` when the encoded value exceeds the store's size limit less the margin.
*/
export const encodeValue = (operations: readonly Operation[], data: unknown): Uint8Array => {
	const envelope: Envelope = {schema: VALUE_SCHEMA_VERSION, operations, data};
	const bytes = encode(envelope);
	const limit = STORE_VALUE_LIMIT_BYTES - STORE_VALUE_MARGIN_BYTES;
	if (bytes.byteLength > limit) {
		throw new ServiceError(`encoded value has ${bytes.byteLength} bytes, limit is ${limit}`, {
			code: 'too-large',
			verdict: 'not-run',
			status: 507,
		});
	}

	return bytes;
};

/**
Decodes a value of the store.

@throws {ServiceError} `internal` when the value has a newer schema version.
*/
export const decodeValue = (bytes: Uint8Array): Envelope => {
	const envelope = decode(bytes) as Envelope;
	if (envelope.schema > VALUE_SCHEMA_VERSION) {
		throw new ServiceError(
			`unsupported schema version ${envelope.schema}, newest supported is ${VALUE_SCHEMA_VERSION}`,
			{
				code: 'internal',
				verdict: 'not-run',
			},
		);
	}

	return envelope;
};
