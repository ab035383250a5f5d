/** A key with its value in the platform's store. */
export type StoredItem = Readonly<{
	key: string;
	value: Uint8Array;
	/** Revision of the last write. */
	revision: number;
	/** Revision at which the key was created. */
	createRevision: number;
	/** Lease to which the key is attached; 0 for none. */
	lease: number;
}>;

/** Changes up to `revision`, or a full listing at `revision`. A removed key has no item. */
export type KeyChanges = Readonly<{
	revision: number;
	items: readonly StoredItem[];
	removed: readonly string[];
	/** True for a full listing, which replaces all items known before. */
	isListing: boolean;
}>;

export type Transaction = Readonly<{
	/** Preconditions: the transaction is applied only while each key has this revision; 0 means that the key does not exist. */
	expected: ReadonlyArray<Readonly<{key: string; revision: number}>>;
	writes: ReadonlyArray<Readonly<{key: string; value: Uint8Array; lease?: number}>>;
	removals?: readonly string[];
}>;

export type TransactionResult =
	| Readonly<{outcome: 'applied'; revision: number}>
	/** `current` holds the present items of those expected keys that exist. */
	| Readonly<{outcome: 'conflict'; current: readonly StoredItem[]}>
	/** The lease of one of the writes has expired or been revoked. */
	| Readonly<{outcome: 'lease-ended'}>;

/**
Client of the platform's key-value store: multi-key transactions, leases and watches.

All calls throw a `ServiceError` with code `store-unavailable`; its verdict is `may-have-run` when the call may have been or may still be executed. The code is `bad-request` for a call that the store will never take as it is.
*/
export type KeyValueStore = Readonly<{
	get: (key: string) => Promise<StoredItem | undefined>;
	list: (prefix: string) => Promise<KeyChanges>;
	/** Long-polls for changes; the result is empty after `waitMs`, and a full listing when the requested revisions have been compacted. */
	watch: (prefix: string, afterRevision: number, waitMs: number, signal: AbortSignal) => Promise<KeyChanges>;
	transact: (transaction: Transaction) => Promise<TransactionResult>;
	grantLease: (ttlMs: number) => Promise<Readonly<{lease: number; ttlMs: number}>>;
	/** Returns false when the lease has expired or been revoked. */
	renewLease: (lease: number) => Promise<boolean>;
	/** Revokes the lease. */
	revokeLease: (lease: number) => Promise<void>;
}>;
