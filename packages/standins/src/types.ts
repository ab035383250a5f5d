import type {TaskState} from '@bergamotgauge/model';

/** A stand-in that listens on HTTP. */
export type StandIn = Readonly<{
	/** Bound `host:port`. */
	address: string;
	close: () => Promise<void>;
}>;

/** How a worker's task behaves; read from the job's payload. */
export type TaskBehaviour = Readonly<{
	runMs?: number;
	result?: 'succeed' | 'fail';
	answer?: unknown;
	/** Time that a checkpoint takes. */
	checkpointMs?: number;
	/** Usage that the worker reports, where it differs from the declared size. */
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
	throttledTo?: number;
	timer?: NodeJS.Timeout;
	answer?: unknown;
	reason?: string;
};
