import type {KeyChanges, StoredItem, Transaction, TransactionResult} from '@bergamotgauge/store';

type Event = Readonly<{key: string; revision: number; item: StoredItem | undefined}>;

/** The items of an in-memory store, with their revisions and their history. */
export type MemoryItems = Readonly<{
	get: (key: string) => StoredItem | undefined;
	all: () => readonly StoredItem[];
	revision: () => number;
	list: (prefix: string) => KeyChanges;
	/** The last change of each key after the revision. */
	changesAfter: (prefix: string, afterRevision: number) => KeyChanges;
	/** Applies a transaction if its preconditions and its leases hold. */
	apply: (transaction: Transaction, hasLease: (lease: number) => boolean) => TransactionResult;
	/** Removes the items of a lease that has ended. */
	removeLease: (lease: number) => void;
}>;

/** Creates the items of an empty store. */
export const createMemoryItems = (): MemoryItems => {
	const items = new Map<string, StoredItem>();
	const events: Event[] = [];
	let revision = 1;

	const setItem = (key: string, value: Uint8Array, lease: number) => {
		const item: StoredItem = {
			key,
			value,
			revision,
			createRevision: items.get(key)?.createRevision ?? revision,
			lease,
		};
		items.set(key, item);
		events.push({key, revision, item});
	};

	const removeItem = (key: string) => {
		if (items.delete(key)) {
			events.push({key, revision, item: undefined});
		}
	};

	return {
		get: (key) => items.get(key),
		all: () => [...items.values()],
		revision: () => revision,
		list: (prefix) => ({
			revision,
			items: [...items.values()].filter(({key}) => key.startsWith(prefix)),
			removed: [],
			isListing: true,
		}),
		changesAfter(prefix, afterRevision) {
			const last = new Map(
				events
					.filter((event) => event.revision > afterRevision && event.key.startsWith(prefix))
					.map((event) => [event.key, event]),
			);
			return {
				revision,
				items: [...last.values()].map(({item}) => item).filter((item) => item !== undefined),
				removed: [...last.values()].filter(({item}) => item === undefined).map(({key}) => key),
				isListing: false,
			};
		},
		apply({expected, writes, removals = []}, hasLease) {
			if (expected.some(({key, revision: expectedRevision}) => (items.get(key)?.revision ?? 0) !== expectedRevision)) {
				return {
					outcome: 'conflict',
					current: expected.map(({key}) => items.get(key)).filter((item) => item !== undefined),
				};
			}

			if (writes.some(({lease}) => lease !== undefined && !hasLease(lease))) {
				return {outcome: 'lease-ended'};
			}

			revision += 1;
			for (const {key, value, lease = 0} of writes) {
				setItem(key, value, lease);
			}

			for (const key of removals) {
				removeItem(key);
			}

			return {outcome: 'applied', revision};
		},
		removeLease(lease) {
			revision += 1;
			for (const item of items.values()) {
				if (item.lease === lease) {
					removeItem(item.key);
				}
			}
		},
	};
};
