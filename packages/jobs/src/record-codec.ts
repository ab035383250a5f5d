import {ServiceError} from '@bergamotgauge/model';
import {decode, encode} from 'cbor-x';
import {RECORD_VERSION} from './constants.js';
import type {Job, Progress} from './types.js';

/** Stored form of a record; `version` lets an older instance recognize data that it can't read. */
type Envelope = Readonly<{version: number; data: unknown}>;

const encodeEnvelope = (data: unknown): Uint8Array => encode({version: RECORD_VERSION, data} satisfies Envelope);

const decodeEnvelope = (bytes: Uint8Array): unknown => {
	const {version, data} = decode(bytes) as Envelope;
	if (version > RECORD_VERSION) {
		throw new ServiceError(`the record has version ${version}, newer than ${RECORD_VERSION}`, {
			code: 'internal',
			verdict: 'not-run',
		});
	}

	return data;
};

/** Encodes an accepted job for the store. */
export const encodeJob = (job: Job): Uint8Array => encodeEnvelope(job);

/**
Decodes a stored job.

@throws {ServiceError} `internal` when the record has a newer version than this instance supports.
*/
export const decodeJob = (bytes: Uint8Array): Job => decodeEnvelope(bytes) as Job;

/** Encodes the progress of a job for the store. */
export const encodeProgress = (progress: Progress): Uint8Array => encodeEnvelope(progress);

/**
Decodes the stored progress of a job.

@throws {ServiceError} `internal` when the record has a newer version than this instance supports.
*/
export const decodeProgress = (bytes: Uint8Array): Progress => decodeEnvelope(bytes) as Progress;
