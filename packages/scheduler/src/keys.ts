import {ROOT_PREFIX} from './constants.js';

/** Records of one job in the store. */
export type JobRecord = 'submission' | 'progress' | 'cancellation';

export const JOBS_PREFIX = `${ROOT_PREFIX}jobs/`;

/** Bound to the leader's lease. */
export const LEADER_KEY = `${ROOT_PREFIX}leader`;

/** Number of the newest term; the fencing token. */
export const TERM_KEY = `${ROOT_PREFIX}term`;

/** Worker lives that a leader may have given leases to, written before their first start. */
export const ROSTER_KEY = `${ROOT_PREFIX}roster`;

/** Jobs by queue of which no unit has started, as the leader last counted them. */
export const PENDING_KEY = `${ROOT_PREFIX}pending`;

/** What the leader has ordered for a wave of upkeep. */
export const waveKey = (wave: number): string => `${ROOT_PREFIX}waves/${wave}`;

/** Prefix of all records of a job. */
export const jobPrefix = (id: string): string => `${JOBS_PREFIX}${id}/`;

export const jobKey = (id: string, record: JobRecord): string => jobPrefix(id) + record;

/**
Reads the key of a job's record; `undefined` for other keys.

@example
```ts
parseJobKey(jobKey('5c0e7a21d94b36f8', 'progress')); // {id: '5c0e7a21d94b36f8', record: 'progress'}
```
*/
export const parseJobKey = (key: string): Readonly<{id: string; record: JobRecord}> | undefined => {
	const [id = '', record = ''] = key.startsWith(JOBS_PREFIX) ? key.slice(JOBS_PREFIX.length).split('/') : [];
	return record === 'submission' || record === 'progress' || record === 'cancellation' ? {id, record} : undefined;
};
