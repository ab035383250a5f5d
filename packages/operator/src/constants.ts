/** Largest body of an apply request. */
export const MAX_APPLY_BYTES = 2 * 1024 * 1024;

export const OPERATOR_CALL_DEADLINE_MS = 10_000;
