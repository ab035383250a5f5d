/** Lease of an instance's record, and the interval of its renewals and of listings of the other records; a renewal may fail twice. */
export const PEER_TTL_MS = 60_000;
export const PEER_REFRESH_MS = 20_000;

/** Time after the start until the second listing; instances that start together have registered by then. */
export const PEER_FIRST_REFRESH_MS = 3000;

/** Backoff between attempts at a registration or listing that has failed. */
export const PEER_RETRY_MIN_MS = 500;
export const PEER_RETRY_MAX_MS = 5000;

/** Peers that an instance remembers; with a third of the instances turned away, some of them serve. */
export const MAX_PEERS = 24;

/** Peers that are probed at the same time. */
export const PROBED_PEERS = 4;

export const PROBE_INTERVAL_MS = 250;

/** Deadline of a probe, also the pause before the next round when no peer is known to serve. */
export const PROBE_DEADLINE_MS = 300;

/** Age of a probe's answer up to which a peer counts as serving; two probes may be lost. */
export const PROBE_MAX_AGE_MS = 1000;

/** Probes go on for this long after the last request that needed a peer. */
export const PROBE_LINGER_MS = 2000;

/** Time after which a peer that did not serve is probed again. */
export const PROBE_RETRY_MS = 1500;

/** How long a request waits for a peer that serves: a connection and a probe within a region. */
export const PEER_WAIT_MS = 300;

/** Time after which a request without an answer is also relayed, if the store is in doubt; longer than the deadline of a store call. */
export const RELAY_AFTER_MS = 900;

/** Time for an answer by a peer, for a caller that sends no deadline. */
export const RELAY_DEADLINE_MS = 2500;

/** Deadline of one attempt, so that another peer may be tried before a caller's usual deadline of three seconds. */
export const RELAY_ATTEMPT_MS = 1000;

/** No attempt is begun with less time left. */
export const RELAY_MIN_MS = 20;

export const RELAY_ATTEMPTS = 3;

/** Requests that an instance relays at the same time, and serves for its peers; each may hold a body of the configured limit. */
export const MAX_RELAYED = 32;
export const MAX_SERVED = 64;

/** Connections of peers to an instance. */
export const MAX_PEER_CONNECTIONS = 64;

/** Largest frame between instances; above the usual limits on bodies. */
export const MAX_RELAY_FRAME_BYTES = 4 * 1024 * 1024;

/** A connection from a peer without traffic for this long is closed; longer than peers keep idle links. */
export const PEER_CONNECTION_IDLE_MS = 30_000;
