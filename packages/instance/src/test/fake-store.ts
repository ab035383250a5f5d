import {ServiceError} from '@bergamotgauge/model';
import type {Entry, Store} from '@bergamotgauge/store';

export type FakeStore = Store & {
	/** Calls fail before they have an effect. */
	outage: boolean;
	/** This many writes take effect although their outcome is reported as unknown. */
	unknownWrites: number;
	/** An outage begins with the next write whose outcome is reported as unknown. */
	failAfterUnknownWrite: boolean;
	writes: number;
};

/** A store in memory with compare-and-swap and switchable faults. */
export const createFakeStore = (): FakeStore => {
	const values = new Map<string, Entry<unknown>>();
	let revision = 0;
	const read = (key: string): Entry<unknown> => values.get(key) ?? {key, revision: 0, value: undefined};

	const store: FakeStore = {
		outage: false,
		unknownWrites: 0,
		failAfterUnknownWrite: false,
		writes: 0,
		async get(key) {
			checkOutage();
			return read(key);
		},
		async list(prefix) {
			checkOutage();
			const entries = [...values.values()].filter(({key}) => key.startsWith(prefix));
			return {revision, entries, compacted: true};
		},
		async put(key, value, expectedRevision) {
			checkOutage();
			if (read(key).revision !== expectedRevision) {
				return {outcome: 'conflict', current: read(key)};
			}

			revision += 1;
			store.writes += 1;
			values.set(key, {key, revision, value});
			if (store.unknownWrites > 0) {
				store.unknownWrites -= 1;
				store.outage = store.failAfterUnknownWrite;
				return {outcome: 'unknown'};
			}

			return {outcome: 'applied', revision};
		},
		remove: async () => ({outcome: 'unknown'}),
		watch: async () => ({revision, entries: [], compacted: false}),
	};

	const checkOutage = () => {
		if (store.outage) {
			throw new ServiceError('the store does not answer', {
				code: 'store-unavailable',
				verdict: 'not-run',
				retryAfterMs: 1000,
			});
		}
	};

	return store;
};
