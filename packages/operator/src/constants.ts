/** Maximum size of the body of an apply request, and of a declaration file. */
export const MAX_APPLY_BYTES = 2 * 1024 * 1024;

export const OPERATOR_CALL_DEADLINE_MS = 10_000;

/** Maximum weight of a customer or objective. */
export const MAX_WEIGHT = 1000;

/** Maximum position of a worker in a rack. */
export const MAX_POSITION = 1023;

/** Tolerance for sums of shares: 0.1, 0.2 and 0.7 add up to slightly more than 1 in floating point. */
export const ROUNDING_TOLERANCE = 1e-9;

/** Maximum number of alias uses in one YAML document. Nested aliases multiply when expanded, so their number is limited. */
export const MAX_ALIAS_COUNT = 100;

/** Partner name of the bootstrap token, which acts for every partner until the first bundle is applied. */
export const EVERY_PARTNER = '*';

/** Maximum number of faults listed in one error response. */
export const MAX_REPORTED_FAULTS = 50;
