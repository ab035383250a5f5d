import {sleep} from '@bergamotgauge/lifecycle';
import {toServiceError} from '@bergamotgauge/model';
import type {KeyValueStore} from '@bergamotgauge/store';
import type {Log, Metrics} from '@bergamotgauge/telemetry';
import type {Term} from '../election.js';
import {BACKLOG_KEY, LEADER_KEY} from '../keys.js';
import type {LeaderState} from '../leader-state.js';
import {BACKLOG_LEVELS, BACKLOG_WRITE_MS, DEMAND_INTERVAL_MS} from './constants.js';
import {createDemandObserver} from './demand.js';
import {createFleetSizes} from './fleet.js';
import {memoryNeedOf} from './memory.js';
import type {Backlog} from './types.js';

export type PublishOptions = Readonly<{
	store: KeyValueStore;
	term: Term;
	state: Pick<LeaderState, 'activeJobs' | 'directory' | 'latestView' | 'policy'>;
	/** Memory that accepted jobs may take on this instance. */
	limitBytes: number;
	log: Log;
	metrics: Metrics;
	now: () => number;
	signal: AbortSignal;
}>;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/**
Decodes a published backlog; `undefined` for one that cannot be read, such as that of a newer version.

@example
```ts
const backlog = decodeBacklog(item.value);
```
*/
export const decodeBacklog = (value: Uint8Array): Backlog | undefined => {
	try {
		const {bytes, limitBytes, largestWorkers, demand} = JSON.parse(decoder.decode(value)) as Backlog;
		const isUsable =
			Number.isFinite(bytes) &&
			Number.isFinite(limitBytes) &&
			typeof largestWorkers === 'object' &&
			typeof demand === 'object';
		return isUsable ? {bytes, limitBytes, largestWorkers, demand} : undefined;
	} catch {
		return undefined;
	}
};

const countBytes = ({activeJobs}: PublishOptions['state']): number => {
	let bytes = 0;
	for (const {job, outcome} of activeJobs.values()) {
		bytes += outcome === undefined ? memoryNeedOf(job) : 0;
	}

	return bytes;
};

/**
Publishes the leader's backlog until the signal aborts. A write that got no response may take effect later, so each write expects the revision of the one before.

@example
```ts
lifecycle.run('backlog', async (signal) => publishBacklog({store, term, state, limitBytes, log, metrics, now, signal}));
```
*/
export const publishBacklog = async (options: PublishOptions): Promise<void> => {
	const {store, term, state, limitBytes, log, metrics, now, signal} = options;
	const sizes = createFleetSizes();
	const levelBytes = limitBytes / BACKLOG_LEVELS;
	let published: string | undefined;
	let revision = 0;
	const observeDemand = createDemandObserver();
	let demand: Backlog['demand'] = {};
	let demandMs = Number.NEGATIVE_INFINITY;

	const write = async (text: string) => {
		published = undefined;
		const result = await store.transact({
			expected: [
				{key: LEADER_KEY, revision: term.leaderRevision},
				{key: BACKLOG_KEY, revision},
			],
			writes: [{key: BACKLOG_KEY, value: encoder.encode(text)}],
		});
		if (result.outcome === 'applied') {
			published = text;
			revision = result.revision;
		} else if (result.outcome === 'conflict') {
			revision = result.current.find(({key}) => key === BACKLOG_KEY)?.revision ?? 0;
		}
	};

	while (!signal.aborted) {
		sizes.observe(state.directory.values(), now());
		const {view} = state.latestView;
		if (view && state.policy.publishesDemand() && now() - demandMs >= DEMAND_INTERVAL_MS) {
			demand = observeDemand(view);
			demandMs = now();
			metrics.gauge('services_overloaded', Object.keys(demand).length);
		}

		const bytes = countBytes(state);
		metrics.gauge('backlog_bytes', bytes);
		metrics.gauge('backlog_limit_bytes', limitBytes);
		const backlog: Backlog = {
			bytes: Math.floor(bytes / levelBytes) * levelBytes,
			limitBytes,
			largestWorkers: sizes.largest(now()),
			demand,
		};
		const text = JSON.stringify(backlog);
		if (text !== published && term.isValid()) {
			try {
				await write(text);
				if (published === undefined) {
					// The first write of a term conflicts with the backlog of the leader before, and has now read its revision.
					await write(text);
				}

				log.info('backlog-published', {bytes, limitBytes, overloaded: Object.keys(demand).join(',')});
			} catch (error) {
				log.debug('backlog-not-stored', {error: toServiceError(error, 'may-have-run').message});
			}
		}

		await sleep(BACKLOG_WRITE_MS, signal);
	}
};
