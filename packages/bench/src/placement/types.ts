import type {Bundle, JobRecord} from '@bergamotgauge/model';
import type {Decision, PlacementView} from '@bergamotgauge/placement';

/** A job of a trace, with the attributes that are hidden from the policy. */
export type TraceJob = Readonly<{
	job: JobRecord;
	trueSeconds: number;
	/** Time from submission until the caller cancels the job, if it has not ended by then. */
	cancelAfterSeconds?: number;
	/** Every attempt fails, on any worker. */
	isFaulty?: boolean;
}>;

/** Workers that are unavailable, or that fail every task, during an interval. */
export type Outage = Readonly<{
	kind: 'lost' | 'failing';
	workers: readonly string[];
	fromMs: number;
	toMs: number;
}>;

export type Trace = Readonly<{
	name: string;
	bundle: Bundle;
	jobs: readonly TraceJob[];
	outages: readonly Outage[];
	/** End of the submissions. Fragmentation and utilisation are measured until then. */
	horizonMs: number;
}>;

export type TraceOptions = Readonly<{seed: number; hours: number}>;

export type TraceFactory = Readonly<{
	name: string;
	create: (options: TraceOptions) => Trace;
	/** Policies that do not replay the trace, because their pass is too slow at its size. */
	excludedPolicies?: readonly string[];
}>;

export type Policy = Readonly<{
	name: string;
	decide: (view: PlacementView) => readonly Decision[];
	/** Whether this is the planner of the placement package. Only it reserves blocks and quarantines workers, so the invariants are checked for it alone. */
	isPlanner: boolean;
}>;

export type ReplayResult = Readonly<{
	trace: string;
	policy: string;
	seed: number;
	jobs: number;
	succeeded: number;
	unfinished: number;
	/** Jobs that ended as failed although a worker was at fault. */
	wronglyFailed: number;
	/** Median ratio of completion time to true run time. */
	ratioP50: number;
	ratioP95: number;
	fragmentation: number;
	utilisation: number;
	/** Share of the used accelerator time lost to evictions (checkpoints, restores and unsaved work) and to failing workers. */
	lostShare: number;
	/** Share of the used accelerator time lost because workers became unavailable. */
	outageLostShare: number;
	urgentStartP99Seconds: number;
	violations: number;
	partialGangs: number;
	/** Sum over the guaranteed blocks of the hours without a reserved block on available workers. */
	shortfallHours: number;
	evictions: number;
	passes: number;
	passP99Ms: number;
}>;
