export const START_DEADLINE_MS = 20_000;

export const READY_POLL_MS = 50;
