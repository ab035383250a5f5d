/** An item of the platform's store. */
export type StoredItem = Readonly<{
	key: string;
	value: Uint8Array;
	/** Revision of the last write. */
	revision: number;
	/** Revision at which the key was created. */
	createRevision: number;
	/** Lease that the key is bound to; 0 for none. */
	lease: number;
}>;

/** Changes and listings end at `revision`; a removed key has no item. */
export type KeyChanges = Readonly<{
	revision: number;
	items: readonly StoredItem[];
	removed: readonly string[];
	/** True for a full listing, which replaces what was known. */
	isListing: boolean;
}>;

export type Transaction = Readonly<{
	/** The transaction applies only while each key has this revision; 0 means that it does not exist. */
	expected: ReadonlyArray<Readonly<{key: string; revision: number}>>;
	writes: ReadonlyArray<Readonly<{key: string; value: Uint8Array; lease?: number}>>;
	removals?: readonly string[];
}>;

export type TransactionResult =
	| Readonly<{outcome: 'applied'; revision: number}>
	/** Holds the expected keys that exist, as they are now. */
	| Readonly<{outcome: 'conflict'; current: readonly StoredItem[]}>
	/** A lease that a write names has ended. */
	| Readonly<{outcome: 'lease-ended'}>;

/**
The platform's store: transactions on several keys, leases and watches.

All calls throw a `ServiceError` with code `store-unavailable`; its verdict is `may-have-run` when the call may have been or may still be executed.
*/
export type KeyValueStore = Readonly<{
	get: (key: string) => Promise<StoredItem | undefined>;
	list: (prefix: string) => Promise<KeyChanges>;
	/** Waits for changes; an empty result after `waitMs`. Gives a full listing where the history is gone. */
	watch: (prefix: string, afterRevision: number, waitMs: number, signal: AbortSignal) => Promise<KeyChanges>;
	transact: (transaction: Transaction) => Promise<TransactionResult>;
	grantLease: (ttlMs: number) => Promise<Readonly<{lease: number; ttlMs: number}>>;
	/** False when the lease has ended. */
	renewLease: (lease: number) => Promise<boolean>;
	endLease: (lease: number) => Promise<void>;
}>;
