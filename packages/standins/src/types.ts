import type {TaskState} from '@bergamotgauge/model';

/** A running stand-in that serves HTTP. */
export type StandIn = Readonly<{
	/** Bound `host:port`. */
	address: string;
	close: () => Promise<void>;
}>;

/** Simulated behaviour of a task, read from the job's payload. */
export type TaskBehaviour = Readonly<{
	runMs?: number;
	result?: 'succeed' | 'fail';
	answer?: unknown;
	/** Duration of a checkpoint. */
	checkpointMs?: number;
	/** Reported usage; defaults to the declared size. */
	coresUsed?: number;
	memoryGigabytesUsed?: number;
}>;

export type WorkerTask = {
	job: string;
	attempt: number;
	token: number;
	state: TaskState;
	block: Readonly<{worker: string; first: number; count: number}>;
	cores: number;
	memoryGigabytes: number;
	isLead: boolean;
	behaviour: TaskBehaviour;
	resumeFrom?: number;
	isCheckpointing?: boolean;
	/** Cores to which the CPU throttle limits the task. */
	throttledTo?: number;
	timer?: NodeJS.Timeout;
	answer?: unknown;
	reason?: string;
};
