import type {KeyValueStore} from '@bergamotgauge/store';
import type {Log} from '@bergamotgauge/telemetry';
import type {Term} from './election.js';
import {LEADER_KEY, ROSTER_KEY} from './keys.js';
import {decodeRoster, encodeRoster, readRoster, type RosterEntry} from './roster.js';
import type {Worker} from './types.js';

/** The roster as stored, which a later leader will read. */
export type StoredRoster = Readonly<{
	/** Reads the roster of the earlier leaders; resolves to its workers. */
	read: () => Promise<readonly Worker[]>;
	/** Stores the roster of this term. */
	store: (entries: readonly RosterEntry[]) => Promise<void>;
	get: (workerId: string) => RosterEntry | undefined;
	workerIds: () => Iterable<string>;
	/** Whether a later leader will know that the worker may have had any order. */
	isOrderable: (workerId: string) => boolean;
	/** Whether orders of an earlier leader may be in effect on a worker that has not answered this one. */
	mayHaveRuns: (workerId: string) => boolean;
	/** Whether a run of the part, ordered by an earlier leader, may be on the worker. */
	mayRunPart: (workerId: string, partId: string) => boolean;
}>;

/**
Creates the roster of a term.

@example
```ts
const roster = createStoredRoster({store, log, term});
for (const worker of await roster.read()) openLink(worker);
```
*/
export const createStoredRoster = ({
	store,
	log,
	term,
}: Readonly<{store: KeyValueStore; log: Log; term: Term}>): StoredRoster => {
	let stored: ReadonlyMap<string, RosterEntry> = new Map();
	let revision = 0;

	const setStored = (entries: readonly RosterEntry[]) => {
		stored = new Map(entries.map((entry) => [entry.worker.id, entry]));
	};

	return {
		get: (workerId) => stored.get(workerId),
		workerIds: () => stored.keys(),
		isOrderable(workerId) {
			const entry = stored.get(workerId);
			return entry !== undefined && entry.partIds === undefined;
		},
		mayHaveRuns(workerId) {
			const entry = stored.get(workerId);
			return entry !== undefined && (entry.partIds === undefined || entry.partIds.length > 0);
		},
		mayRunPart: (workerId, partId) => stored.get(workerId)?.partIds?.includes(partId) ?? true,
		async read() {
			const item = await readRoster({store, log, signal: term.signal});
			if (term.signal.aborted) {
				return [];
			}

			revision = item?.revision ?? 0;
			const entries = item ? decodeRoster(item.value) : [];
			setStored(entries);
			return entries.map(({worker}) => worker);
		},
		async store(entries) {
			// The write may take effect without a response, so until its outcome is known, only workers that both rosters list
			// as open for orders get any. What a later leader has to know about the others stays valid either way.
			const openIds = new Set(entries.filter(({partIds}) => !partIds).map(({worker}) => worker.id));
			setStored([...stored.values()].filter(({worker, partIds}) => partIds !== undefined || openIds.has(worker.id)));
			const result = await store.transact({
				expected: [
					{key: LEADER_KEY, revision: term.leaderRevision},
					{key: ROSTER_KEY, revision},
				],
				writes: [{key: ROSTER_KEY, value: encodeRoster(entries)}],
			});
			if (result.outcome === 'applied') {
				revision = result.revision;
				setStored(entries);
				return;
			}

			const current = result.outcome === 'conflict' ? result.current : [];
			if (current.find(({key}) => key === LEADER_KEY)?.revision !== term.leaderRevision) {
				term.abandon('another instance leads');
			}

			// An earlier write of this term may have taken effect without a response.
			revision = current.find(({key}) => key === ROSTER_KEY)?.revision ?? 0;
		},
	};
};
