import {ROOT_PREFIX} from './constants.js';

/** Kinds of records that the store holds for one job. */
export type JobRecord = 'submission' | 'progress' | 'cancellation';

export const JOBS_PREFIX = `${ROOT_PREFIX}jobs/`;

/** Key of the leader, which is bound to its lease. */
export const LEADER_KEY = `${ROOT_PREFIX}leader`;

/** What the leader publishes about accepted work. The prefix is that of the leader key, so the watch on that reads it too. */
export const BACKLOG_KEY = `${LEADER_KEY}-backlog`;

/** Number of the latest term, which is the fencing token. */
export const TERM_KEY = `${ROOT_PREFIX}term`;

/** Worker incarnations that a leader may have granted leases to, written before their first start. */
export const ROSTER_KEY = `${ROOT_PREFIX}roster`;

/** Number of queued jobs by queue, as last counted by the leader. */
export const PENDING_KEY = `${ROOT_PREFIX}pending`;

/** What leaders have learned of the workers' speeds. */
export const SPEEDS_KEY = `${ROOT_PREFIX}speeds`;

/** What the leader has ordered for a maintenance wave. */
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
