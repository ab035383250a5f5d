import {createHash} from 'node:crypto';
import {CLAIM_SHARD_COUNT, JOB_SHARD_COUNT, SLOT_SHARD_COUNT} from './constants.js';

/** First 48 bits of the SHA-256 of a text, as a number. */
export const hash48 = (text: string): number => createHash('sha256').update(text).digest().readUIntBE(0, 6);

const shardKey = (prefix: string, id: string, count: number): string =>
	`${prefix}/${String(hash48(id) % count).padStart(2, '0')}`;

/**
Store key of the shard that holds a job.

@example
```ts
jobShardKey('0198…'); // 'jobs/07'
```
*/
export const jobShardKey = (job: string): string => shardKey('jobs', job, JOB_SHARD_COUNT);

/** Store key of the shard that holds the claim of a customer's idempotency key. */
export const claimShardKey = (customer: string, key: string): string =>
	shardKey('claims', `${customer}/${key}`, CLAIM_SHARD_COUNT);

/** Store key of the shard that holds the slot shares of an endpoint. */
export const slotShardKey = (endpoint: string): string => shardKey('slots', endpoint, SLOT_SHARD_COUNT);

/** Store key of a rack record. */
export const rackKey = (rack: string): string => `racks/${rack}`;

export const BUNDLE_KEY = 'config/bundle';
