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

/** Interval at which `--wait` polls the instance. */
export const WAIT_POLL_MS = 100;

export const MAX_WAIT_SECONDS = 3600;

/** Number of random bytes in a token; 32 bytes match the length of its SHA-256. */
export const TOKEN_BYTES = 32;
