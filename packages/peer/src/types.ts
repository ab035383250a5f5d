import type {WireUpdate} from './update-codec.js';

/** One message on a connection between instances. */
export type Frame =
	| Readonly<{kind: 'request'; id: number; method: string; body: unknown}>
	| Readonly<{kind: 'response'; id: number; ok: true; body: unknown}>
	| Readonly<{kind: 'response'; id: number; ok: false; error: FrameError}>
	| Readonly<{kind: 'event'; method: string; body: unknown}>;

export type FrameError = Readonly<{
	code: string;
	verdict: string;
	message: string;
	/** HTTP status for callers; that of the code when it is missing. */
	status?: number;
	retryAfterMs?: number;
}>;

export type RequestHandler = (body: unknown, from: string) => Promise<unknown> | unknown;

export type EventHandler = (body: unknown) => void;

export type Handlers = Readonly<{
	requests: Readonly<Record<string, RequestHandler>>;
	events: Readonly<Record<string, EventHandler>>;
}>;

export type MemberState = 'starting' | 'live' | 'leaving';

/** State that an instance reports of itself in each heartbeat. */
export type Heartbeat = Readonly<{
	id: string;
	/** Increases with each start of the instance, which distinguishes a restarted process from its predecessor. */
	incarnation: number;
	/** Counter that increases while the instance runs; orders the heartbeats of one incarnation. */
	beat: number;
	/** `host:port` of the peer listener; empty when it listens on all addresses, in which case the instance list supplies the address. */
	address: string;
	state: MemberState;
	/** Generation of the configuration in force. */
	generation: number;
	/** Store revision of the replica. */
	revision: number;
	availabilityZone: string;
	/** Unreachable workers of the racks that the instance owns. */
	workersDown: readonly string[];
}>;

/** A heartbeat with gossiped updates about other instances. */
export type HeartbeatMessage = Heartbeat & Readonly<{updates: readonly WireUpdate[]}>;

/** One instance's view of another one, as disseminated by gossip. */
export type MemberUpdate = Readonly<{
	/** The last known heartbeat of the member. */
	heartbeat: Heartbeat;
	health: Health;
	/** Time since the last heartbeat of the member. */
	silentMs: number;
}>;

export type Health = 'unknown' | 'alive' | 'suspect' | 'dead';

export type Member = Readonly<{
	id: string;
	address: string;
	health: Health;
	heartbeat: Heartbeat | undefined;
	/** Time of the last contact; the present time for a member that is alive. */
	lastSeenMs: number;
}>;
