/** Largest body of an apply request, and of a declaration file. */
export const MAX_APPLY_BYTES = 2 * 1024 * 1024;

export const OPERATOR_CALL_DEADLINE_MS = 10_000;

/** Largest weight of a customer or objective. */
export const MAX_WEIGHT = 1000;

/** Largest place of a worker in a rack. */
export const MAX_POSITION = 1023;

/** Shares such as 0.1, 0.2 and 0.7 add up to slightly more than 1 in floating point. */
export const ROUNDING_ALLOWANCE = 1e-9;

/** Alias uses in one document; nested aliases multiply, so they are bounded. */
export const MAX_ALIAS_COUNT = 100;

/** Partner of the bootstrap token, which acts for every partner until the first bundle. */
export const EVERY_PARTNER = '*';

/** Faults that one answer lists. */
export const MAX_REPORTED_FAULTS = 50;
