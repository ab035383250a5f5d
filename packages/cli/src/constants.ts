/** Exit codes of the program. */
export const EXIT_CODES = {
	ok: 0,
	failed: 1,
	usage: 2,
	conflict: 3,
	unavailable: 4,
	notInForce: 5,
} as const;

export const ENVIRONMENT_PREFIX = 'BERGAMOTGAUGE_';

export const IN_FORCE_POLL_MS = 100;
