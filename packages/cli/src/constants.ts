/** Exit codes of the program. */
export const EXIT_CODES = {
	ok: 0,
	failed: 1,
	usage: 2,
	conflict: 3,
	unavailable: 4,
	notInForce: 5,
	denied: 6,
} as const;

export const ENVIRONMENT_PREFIX = 'BERGAMOTGAUGE_';

export const WAIT_POLL_MS = 100;

export const MAX_WAIT_SECONDS = 3600;

/** Random bytes of a token; as many as its SHA-256 has. */
export const TOKEN_BYTES = 32;
