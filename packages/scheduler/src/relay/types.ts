/** A caller's request as it passes between instances. The instance that answers authenticates it with its own configuration. */
export type CallerCall = Readonly<{
	method: string;
	host: string;
	path: string;
	/** The `Authorization` header; empty when there is none. */
	authorization: string;
	body: unknown;
}>;

/** An instance as registered in the store. */
export type PeerRecord = Readonly<{
	id: string;
	/** `host:port` of its listener for other instances. */
	address: string;
	availabilityZone: string;
	cores: number;
}>;

/** Answer of a peer to a probe. */
export type PeerStatus = Readonly<{
	/** Whether it answers callers from the store. */
	isServing: boolean;
	/** Store revision of its configuration. */
	revision: number;
}>;

/** A request with the least configuration revision that may answer it. */
export type RelayedCall = Readonly<{call: CallerCall; minRevision: number}>;

/** Answer to a relayed request, with the revision of the configuration that it was handled under. */
export type RelayedAnswer = Readonly<{body: unknown; revision: number}>;
