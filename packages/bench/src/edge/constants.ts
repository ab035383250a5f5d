/** Concurrent requests per endpoint. */
export const SLOTS = 8;

/** Connections per endpoint. */
export const CONNECTIONS = 60;

export const SERVICE_NAME = 'listings';

/** Goals of docs/design.md, section 2.7. */
export const GOAL_THROUGHPUT_RATIO = 0.7;

export const GOAL_GOODPUT_RATIO = 0.95;

export const GOAL_FAIR_SHARE = 0.99;

export const GOAL_UTILISATION = 0.9;

/** Longest time for which a leaving endpoint may still get requests (requirement R6). */
export const GOAL_LEAVING_MS = 3000;

export const START_DEADLINE_MS = 20_000;
