import type {Block, WorkerReport} from '@bergamotgauge/model';

/** One worker's part of a gang. */
export type TaskSpecification = Readonly<{
	job: string;
	attempt: number;
	/** Fencing token of the placement. */
	token: number;
	block: Block;
	cores: number;
	memoryGigabytes: number;
	/** Attempt whose checkpoint the task resumes from. */
	resumeFrom?: number;
	/** Whether the answer of this worker's task becomes the job's answer. */
	isLead: boolean;
	payload: unknown;
}>;

/** Identifies the task of one attempt on a worker. */
export type TaskReference = Readonly<{job: string; attempt: number; token: number}>;

/** Client of one worker. Calls on tasks return the sequence number of the worker's report after the call took effect. */
export type WorkerClient = Readonly<{
	/** Reserves accelerators for a task; idempotent. */
	prepare: (task: TaskSpecification) => Promise<number>;
	/** Starts a prepared task; idempotent. */
	start: (task: TaskReference) => Promise<number>;
	/** Saves the task's progress and stops it. */
	checkpoint: (task: TaskReference) => Promise<number>;
	throttle: (task: TaskReference, cores: number) => Promise<number>;
	/** Stops the task and discards its state; idempotent. */
	stop: (task: TaskReference) => Promise<number>;
	/** Extends the lease of all tasks on the worker. */
	renewLease: (leaseMs: number) => Promise<void>;
	/** Waits until the report is newer than `afterSequence` or `waitMs` have passed. */
	report: (afterSequence: number, waitMs: number, signal: AbortSignal) => Promise<WorkerReport>;
}>;
