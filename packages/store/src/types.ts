/** A write, identified by its id and the revision that it replaced. */
export type Operation = Readonly<{
	id: string;
	expectedRevision: number;
}>;

/** A stored value with the revision of its last write. */
export type Entry<Value> = Readonly<{
	key: string;
	revision: number;
	/** Undefined when the key does not exist. */
	value: Value | undefined;
	/** The most recent operations on the key, newest first; undefined when they are not known. */
	operations?: readonly Operation[];
}>;

/** Result of a compare-and-swap. */
export type WriteResult =
	| Readonly<{outcome: 'applied'; revision: number}>
	| Readonly<{outcome: 'conflict'; current: Entry<unknown>}>
	| Readonly<{outcome: 'unknown'}>;

/** Changes after a revision, or a full listing. */
export type Changes = Readonly<{
	/** The store's revision up to which the changes are complete. */
	revision: number;
	entries: ReadonlyArray<Entry<unknown>>;
	/** True when the store has compacted the requested changes; the entries are then a full listing. */
	compacted: boolean;
}>;

export type StoreCall = 'get' | 'list' | 'put' | 'remove' | 'watch';

/** Client of the platform's key-value store. */
export type Store = Readonly<{
	get: (key: string) => Promise<Entry<unknown>>;
	list: (prefix: string) => Promise<Changes>;
	/** Compare-and-swap: writes only while the key's revision is `expectedRevision`; 0 means that the key was never written. */
	put: (key: string, value: unknown, expectedRevision: number) => Promise<WriteResult>;
	/** Stores a tombstone: the key reads as missing but keeps its revision. */
	remove: (key: string, expectedRevision: number) => Promise<WriteResult>;
	/** Long-polls for changes of keys that start with one of the prefixes. */
	watch: (prefixes: readonly string[], afterRevision: number, waitMs: number, signal: AbortSignal) => Promise<Changes>;
}>;
