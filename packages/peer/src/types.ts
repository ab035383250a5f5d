import type {WireUpdate} from './update-codec.js';

/** One message on a connection between instances. */
export type Frame =
	| Readonly<{kind: 'request'; id: number; method: string; body: unknown}>
	| Readonly<{kind: 'response'; id: number; ok: true; body: unknown}>
	| Readonly<{kind: 'response'; id: number; ok: false; error: FrameError}>
	| Readonly<{kind: 'event'; method: string; body: unknown}>;

export type FrameError = Readonly<{code: string; verdict: string; message: string; retryAfterMs?: number}>;

export type RequestHandler = (body: unknown, from: string) => Promise<unknown> | unknown;

export type EventHandler = (body: unknown) => void;

export type Handlers = Readonly<{
	requests: Readonly<Record<string, RequestHandler>>;
	events: Readonly<Record<string, EventHandler>>;
}>;

export type MemberState = 'starting' | 'live' | 'leaving';

/** What an instance says of itself in each heartbeat. */
export type Heartbeat = Readonly<{
	id: string;
	/** Rises with each start of the instance, so that a restarted one is not its predecessor. */
	incarnation: number;
	/** Rises while the instance runs; orders the heartbeats of one incarnation. */
	beat: number;
	/** `host:port` of the peer listener; empty when it listens on all addresses, so that the list has to name it. */
	address: string;
	state: MemberState;
	/** Generation of the configuration in force. */
	generation: number;
	/** Store revision of the replica. */
	revision: number;
	availabilityZone: string;
	/** Workers of owned racks that do not answer. */
	workersDown: readonly string[];
}>;

/** A heartbeat with what its sender knows of other instances. */
export type HeartbeatMessage = Heartbeat & Readonly<{updates: readonly WireUpdate[]}>;

/** What one instance says of another one. */
export type MemberUpdate = Readonly<{
	/** The last known heartbeat of the member. */
	heartbeat: Heartbeat;
	health: Health;
	silentMs: number;
}>;

export type Health = 'unknown' | 'alive' | 'suspect' | 'dead';

export type Member = Readonly<{
	id: string;
	address: string;
	health: Health;
	heartbeat: Heartbeat | undefined;
	lastHeardMs: number;
}>;
