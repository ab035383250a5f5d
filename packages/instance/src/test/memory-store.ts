import {ServiceError} from '@bergamotgauge/model';
import type {Changes, Entry, Store} from '@bergamotgauge/store';
import Emittery from 'emittery';

/** A key-value store in memory with compare-and-swap. */
export type MemoryStore = Store &
	Readonly<{
		entries: () => ReadonlyArray<Entry<unknown>>;
		/** Writes so far, by key. */
		writes: ReadonlyMap<string, number>;
		events: Emittery<{changed: Changes}>;
		faults: {outage: boolean};
		reads: () => number;
	}>;

export const createMemoryStore = (): MemoryStore => {
	const values = new Map<string, Entry<unknown>>();
	const writes = new Map<string, number>();
	const events = new Emittery<{changed: Changes}>();
	const faults = {outage: false};
	let revision = 0;
	let reads = 0;

	const requireStore = () => {
		if (faults.outage) {
			throw new ServiceError('outage', {code: 'store-unavailable', verdict: 'not-run', retryAfterMs: 1000});
		}
	};

	const current = (key: string): Entry<unknown> => values.get(key) ?? {key, revision: 0, value: undefined};

	return {
		events,
		writes,
		faults,
		reads: () => reads,
		entries: () => [...values.values()],
		async get(key) {
			requireStore();
			reads += 1;
			return current(key);
		},
		async list(prefix) {
			requireStore();
			return {
				revision,
				entries: [...values.values()].filter(({key}) => key.startsWith(prefix)),
				compacted: true,
			};
		},
		async put(key, value, expectedRevision) {
			requireStore();
			if (current(key).revision !== expectedRevision) {
				return {outcome: 'conflict', current: current(key)};
			}

			revision += 1;
			const entry = {key, revision, value: structuredClone(value)};
			values.set(key, entry);
			writes.set(key, (writes.get(key) ?? 0) + 1);
			void events.emit('changed', {revision, entries: [entry], compacted: false});
			return {outcome: 'applied', revision};
		},
		remove: async () => ({outcome: 'unknown'}),
		watch: async () => ({revision, entries: [], compacted: false}),
	};
};
