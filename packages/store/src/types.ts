/** A write, by its id and the revision that it replaced. */
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
	/** The newest operations on the key, newest first, where they are known. */
	operations?: readonly Operation[];
}>;

/** Result of a compare-and-swap. */
export type WriteResult =
	| Readonly<{outcome: 'applied'; revision: number}>
	| Readonly<{outcome: 'conflict'; current: Entry<unknown>}>
	| Readonly<{outcome: 'unknown'}>;

/** Changes after a revision. */
export type Changes = Readonly<{
	/** The store's revision up to which the changes are complete. */
	revision: number;
	entries: ReadonlyArray<Entry<unknown>>;
	/** True when the store no longer has the changes; the entries are then a full list. */
	compacted: boolean;
}>;

export type StoreCall = 'get' | 'list' | 'put' | 'remove' | 'watch';

/** Client of the platform's key-value store. */
export type Store = Readonly<{
	get: (key: string) => Promise<Entry<unknown>>;
	list: (prefix: string) => Promise<Changes>;
	/** Writes when the key's revision is `expectedRevision`; 0 means that the key was never written. */
	put: (key: string, value: unknown, expectedRevision: number) => Promise<WriteResult>;
	/** Stores an empty value, which reads as a key that does not exist but keeps its revision. */
	remove: (key: string, expectedRevision: number) => Promise<WriteResult>;
	/** Waits for changes of keys with one of the prefixes. */
	watch: (prefixes: readonly string[], afterRevision: number, waitMs: number, signal: AbortSignal) => Promise<Changes>;
}>;
