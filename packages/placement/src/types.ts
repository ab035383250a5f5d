import type {Block, Bundle, JobOutcome, JobRecord, Placement, RackRecord} from '@bergamotgauge/model';

/** All that a decision may depend on. */
export type PlacementView = Readonly<{
	bundle: Bundle;
	/** Rack records by rack name; a declared rack without a record is empty. */
	racks: ReadonlyMap<string, RackRecord>;
	/** Queued jobs in order of submission. */
	jobs: readonly JobRecord[];
	/** Workers that do not answer; nothing is placed on them. */
	workersDown: ReadonlySet<string>;
	nowMs: number;
}>;

/** Place a job; the writer sets `token` from the rack record's epoch. */
export type PlaceDecision = Readonly<{
	kind: 'place';
	rack: string;
	placement: Omit<Placement, 'token'>;
	reason: string;
}>;

/** Take a preemptible job off its accelerators, by checkpoint where it can. */
export type EvictDecision = Readonly<{
	kind: 'evict';
	rack: string;
	job: string;
	/** Time for the checkpoint before the tasks are stopped. */
	graceMs: number;
	reason: string;
}>;

/** The job stays queued. */
export type WaitDecision = Readonly<{
	kind: 'wait';
	job: string;
	reason: string;
}>;

/** The job ends without running again. */
export type EndDecision = Readonly<{
	kind: 'end';
	job: string;
	outcome: JobOutcome;
	reason: string;
}>;

/** Replace the homes of a rack. */
export type HomesDecision = Readonly<{
	kind: 'homes';
	rack: string;
	homes: RackRecord['homes'];
	reason: string;
}>;

export type Decision = PlaceDecision | EvictDecision | WaitDecision | EndDecision | HomesDecision;

/** A run of adjacent accelerators that a shape may occupy. */
export type Candidate = Readonly<{
	rack: string;
	blocks: readonly Block[];
}>;
