/** Faults that a test injects into the in-memory store. */
export type StoreFaults = {
	/** Calls fail without taking effect; leases are paused unless `isLapsing`. */
	isDown: boolean;
	/** Leases expire while the store is down. */
	isLapsing: boolean;
	/** Number of following transactions that are applied but whose responses are lost. */
	lostResponses: number;
	/** Number of following transactions that get no response and are applied by `release`. */
	delayed: number;
	/** Number of following lease renewals that get no response and do not take effect. */
	silentRenewals: number;
	/** Prefixes whose watches get no response, also those in progress; all other calls work. */
	readonly silentWatches: Set<string>;
	/** Time that listings of a prefix take after they were read; changes made meanwhile are not in them. */
	readonly slowListings: Map<string, number>;
	/** Largest value that a transaction may write. */
	valueBytes: number;
	/** Prefixes of keys whose writes are refused for good. */
	readonly refusedKeys: Set<string>;
	/** The history before the current revision is compacted. */
	isCompacted: boolean;
};

/** A store without faults. */
export const createStoreFaults = (): StoreFaults => ({
	isDown: false,
	isLapsing: false,
	lostResponses: 0,
	delayed: 0,
	silentRenewals: 0,
	silentWatches: new Set(),
	slowListings: new Map(),
	valueBytes: 1_048_576,
	refusedKeys: new Set(),
	isCompacted: false,
});
