/** A step of a job: units of the same kind, which may run in parallel. */
export type Step = Readonly<{
	/** Number of units. */
	count: number;
	/** Thousandths of a core that each unit needs. */
	cpuMillis: number;
	memoryMb: number;
	accelerators: number;
	/** The caller's estimate of a unit's run time. */
	estimateMs: number;
	/** Indexes of the steps that must have ended before this one starts. */
	after: readonly number[];
	/** The units form a gang: they run only all together. */
	gang: boolean;
	/** A gang that runs slower when it is spread over racks. */
	sameRack: boolean;
	/** Label that the worker must have. */
	requiredLabel: string | undefined;
	/** Rack with the data; the unit is slower on other racks. */
	dataRack: string | undefined;
	/** Maximum units of the step on one worker; 0 sets no limit. */
	maxPerWorker: number;
	/** The unit writes checkpoints and can resume from them. */
	checkpoints: boolean;
	/** Several copies of a unit may run at the same time. */
	copies: boolean;
	/** The units run until the job is cancelled. */
	longRunning: boolean;
	/** Best-effort unit: it runs on spare cores that other units leave unused. */
	usesLeftover: boolean;
	/** Units of a long-running step that may be absent at the same time when the scheduler stops some; absences for any reason count. `undefined` sets no limit. */
	maxAbsent: number | undefined;
	/** Image that the units run; units of one image are assumed to behave alike. */
	image: string;
	/** Target for the tail latency of latency-sensitive units, in milliseconds; `undefined` for other units. */
	tailTargetMs: number | undefined;
}>;

/** Occurrences of a repeated job: `repeats` runs of all steps, the first at `firstMs`, then every `intervalMs`. */
export type Schedule = Readonly<{repeats: number; firstMs: number; intervalMs: number}>;

/** A job as a caller submits it. */
export type Submission = Readonly<{
	id: string;
	spec: string;
	steps: readonly Step[];
	schedule: Schedule | undefined;
}>;

/** Response times and ticket validity of the advice service, which decides which workers may run a step. */
export type AdviceTerms = Readonly<{
	/** Time that a call takes: a fixed part, and a part for each worker in the call. */
	decideMs: number;
	eachMs: number;
	/** Validity of a ticket. */
	validMs: number;
}>;

/** Terms of the queue that a job was accepted into. */
export type QueueTerms = Readonly<{
	queue: string;
	service: string;
	/** Priority of the queue; 0 is the highest. */
	priority: number;
	/** Number of failed runs of one unit after which the job fails. */
	attempts: number;
	/** Factor by which the longest chain of steps is multiplied in the completion objective. */
	stretch: number;
	/** Added to the stretched chain in the completion objective. */
	targetLatencyMs: number;
	/** Set when units may run only on workers that the advice service approves. */
	advice: AdviceTerms | undefined;
}>;

/** An accepted job. */
export type Job = Submission & QueueTerms & Readonly<{customer: string; acceptedMs: number}>;

export type JobState = 'queued' | 'active' | 'completed' | 'failed' | 'cancelled';

/** Outcome of a job that has ended. */
export type JobOutcome = 'completed' | 'failed' | 'cancelled';

/** Why a job has failed. */
export type JobFailure =
	/** A unit, or a gang, has failed as often as its queue allows. */
	| 'failed-runs'
	/** A unit, or a gang, has crashed the workers that ran it. */
	| 'worker-crashes';

/** State of a job with the cause of a failure. */
export type JobStatus = Readonly<{state: JobState; failure: JobFailure | undefined}>;

/** How likely it is that a run caused the crash of its worker. */
export type CrashSuspicion =
	/** No other run, and nothing that hit other workers as well, can have caused it. */
	| 'certain'
	/** One of the few runs that had just started. */
	| 'likely'
	/** One of many runs, or one of many workers that crashed at the same time. */
	| 'possible';

/** A run whose worker crashed. */
export type CrashedRun = Readonly<{
	run: number;
	/** Time from the start of the run to the crash, in milliseconds. */
	ranMs: number;
	suspicion: CrashSuspicion;
}>;

/** Stored progress of a part: one unit, or all units of a gang. */
export type PartRecord = Readonly<{
	isDone: boolean;
	/** Number of the latest run that has ended. */
	run: number;
	failures: number;
	/** Number of the latest run whose failure was counted, for readers that do not know `failedRuns`. */
	failedRun: number;
	/** Numbers of the runs whose failures were counted; missing in records of older versions. */
	failedRuns?: readonly number[];
	/** Runs whose workers crashed since a run outlasted its crashes; missing in records of older versions. */
	crashes?: readonly CrashedRun[];
	/** Number of a run that was ordered on trial and whose end is not known; 0 or missing if there is none. */
	trialRun?: number;
	/** Latest checkpoint; empty when there is none. */
	checkpoint: string;
}>;

/** Progress of a job as stored. */
export type Progress = Readonly<{
	/** Whether any unit has started. */
	hasBegun: boolean;
	outcome: JobOutcome | undefined;
	/** Cause of the outcome `failed`; missing in records of older versions. */
	failure?: JobFailure | undefined;
	/** Wall-clock time at which the job ended. */
	endedMs: number | undefined;
	/** Parts by key; those that have not ended any run are left out. */
	parts: Readonly<Record<string, PartRecord>>;
}>;

/** Unique name of a unit among all jobs. */
export type UnitName = Readonly<{jobId: string; occurrence: number; step: number; index: number}>;

/** How a run ended. */
export type RunEnd =
	/** Finished its work. */
	| 'done'
	/** Failed by its own or the worker's fault. */
	| 'failed'
	/** Was ordered to stop. */
	| 'stopped'
	/** Its lease expired. */
	| 'lapsed'
	/** Another member of its gang ended. */
	| 'broken'
	/** Waited too long for the other members of its gang to start. */
	| 'alone';
