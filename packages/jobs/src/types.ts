/** Work of one kind within a job; its units may run side by side. */
export type Step = Readonly<{
	/** Number of units. */
	count: number;
	/** Thousandths of a core that each unit needs. */
	cpuMillis: number;
	memoryMb: number;
	accelerators: number;
	/** The caller's rough estimate of a unit's run time. */
	estimateMs: number;
	/** Indexes of the steps that must have ended first. */
	after: readonly number[];
	/** The units run only together. */
	gang: boolean;
	/** A gang that is slower across racks. */
	sameRack: boolean;
	/** Label that the worker must have. */
	requiredLabel: string | undefined;
	/** Rack with the data; the unit is slower on other racks. */
	dataRack: string | undefined;
	/** Most units of the step on one worker; 0 sets no limit. */
	maxPerWorker: number;
	/** The unit saves its progress and can resume. */
	checkpoints: boolean;
	/** Copies of a unit may run at the same time. */
	copies: boolean;
	/** The units run until the job is cancelled. */
	longRunning: boolean;
	/** The unit's cores come from what other units leave unused. */
	usesLeftover: boolean;
	/** Units of a long-running step that the scheduler may keep from work at the same time; `undefined` sets no bound. */
	maxAbsent: number | undefined;
	/** Name of what the units run; units of one image behave alike. */
	image: string;
	/** Bound on the tail of the response times of units that serve users of their own, in milliseconds. */
	tailTargetMs: number | undefined;
}>;

/** Times at which the steps run again. */
export type Schedule = Readonly<{repeats: number; firstMs: number; intervalMs: number}>;

/** What a caller hands in. */
export type Submission = Readonly<{
	id: string;
	spec: string;
	steps: readonly Step[];
	schedule: Schedule | undefined;
}>;

/** How the service that decides which workers may run a step answers. */
export type AdviceTerms = Readonly<{
	/** Time of each call, and for each worker that it names. */
	decideMs: number;
	eachMs: number;
	/** Time for which a ticket can be used. */
	validMs: number;
}>;

/** Terms of the queue that a job was accepted into. */
export type QueueTerms = Readonly<{
	queue: string;
	service: string;
	/** 0 comes first. */
	priority: number;
	/** Failed runs of a unit after which the job has failed. */
	attempts: number;
	/** Factor on the longest chain of work that gives the completion objective. */
	stretch: number;
	targetLatencyMs: number;
	/** Set where units may run only on workers that the advice service approves. */
	advice: AdviceTerms | undefined;
}>;

/** An accepted job. */
export type Job = Submission & QueueTerms & Readonly<{customer: string; acceptedMs: number}>;

export type JobState = 'queued' | 'active' | 'completed' | 'failed' | 'cancelled';

/** Outcome of a job that has ended. */
export type JobOutcome = 'completed' | 'failed' | 'cancelled';

/** What is kept of a part: one unit, or all units of a gang. */
export type PartRecord = Readonly<{
	isDone: boolean;
	/** Highest run that has ended. */
	run: number;
	failures: number;
	/** Highest run whose failure was counted. */
	failedRun: number;
	/** Newest saved progress; empty when there is none. */
	checkpoint: string;
}>;

/** Progress of a job as stored. */
export type Progress = Readonly<{
	/** Whether a unit has started. */
	hasBegun: boolean;
	outcome: JobOutcome | undefined;
	/** Time of day at which the job ended. */
	endedMs: number | undefined;
	/** By part key, without the parts that have not ended a run. */
	parts: Readonly<Record<string, PartRecord>>;
}>;

/** Address of a unit within all jobs. */
export type UnitName = Readonly<{jobId: string; occurrence: number; step: number; index: number}>;

/** How a run ended. */
export type RunEnd =
	/** Finished its work. */
	| 'done'
	/** Failed by its own or the worker's fault. */
	| 'failed'
	/** Was told to stop. */
	| 'stopped'
	/** Lost its lease. */
	| 'lapsed'
	/** Another member of the gang ended. */
	| 'broken'
	/** Waited too long for the other members of the gang. */
	| 'alone';
