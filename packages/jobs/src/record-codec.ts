import {ServiceError} from '@bergamotgauge/model';
import {decode, encode} from 'cbor-x';
import {RECORD_VERSION} from './constants.js';
import type {Job, Progress} from './types.js';

type Envelope = Readonly<{version: number; data: unknown}>;

const seal = (data: unknown): Uint8Array => encode({version: RECORD_VERSION, data} satisfies Envelope);

const open = (bytes: Uint8Array): unknown => {
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
export const encodeJob = (job: Job): Uint8Array => seal(job);

/**
Decodes a stored job.

@throws {ServiceError} `internal` when a newer version wrote the record.
*/
export const decodeJob = (bytes: Uint8Array): Job => open(bytes) as Job;

/** Encodes the progress of a job for the store. */
export const encodeProgress = (progress: Progress): Uint8Array => seal(progress);

/**
Decodes the stored progress of a job.

@throws {ServiceError} `internal` when a newer version wrote the record.
*/
export const decodeProgress = (bytes: Uint8Array): Progress => open(bytes) as Progress;
