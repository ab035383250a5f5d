import type {createEventQueue} from './event-queue.js';
import type {Policy, TraceJob} from './types.js';
import type {Attempt, Simulation} from './simulation.js';

export type Event =
	| Readonly<{kind: 'arrive'; entry: TraceJob}>
	| Readonly<{kind: 'cancel'; job: string}>
	| Readonly<{kind: 'finish'; attempt: Attempt}>
	| Readonly<{kind: 'evicted'; attempt: Attempt; isSaved: boolean}>
	| Readonly<{kind: 'outage'; index: number; isStart: boolean}>
	| Readonly<{kind: 'pass'}>;

export type Observations = {
	/** Completion time over true run time of each job. */
	readonly ratios: number[];
	/** Seconds from submission to the first start of each urgent job. */
	readonly urgentStarts: number[];
	readonly passMs: number[];
	/** Urgent jobs that have started. */
	readonly started: Set<string>;
	succeeded: number;
	wronglyFailed: number;
	violations: number;
	partialGangs: number;
	shortfallMs: number;
	lastPassMs: number;
	/** Guaranteed blocks without a reserved block after the last pass. */
	shortfalls: number;
	evictions: number;
};

export type Replay = Readonly<{
	simulation: Simulation;
	policy: Policy;
	observations: Observations;
	events: ReturnType<typeof createEventQueue<Event>>;
}>;

export const createObservations = (): Observations => ({
	ratios: [],
	urgentStarts: [],
	passMs: [],
	started: new Set(),
	succeeded: 0,
	wronglyFailed: 0,
	violations: 0,
	partialGangs: 0,
	shortfallMs: 0,
	lastPassMs: 0,
	shortfalls: 0,
	evictions: 0,
});
