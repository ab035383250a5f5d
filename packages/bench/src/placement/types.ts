import type {Bundle, JobRecord} from '@bergamotgauge/model';
import type {Decision, PlacementView} from '@bergamotgauge/placement';

/** A job of a trace with what only the replay knows. */
export type TraceJob = Readonly<{
	job: JobRecord;
	trueSeconds: number;
	/** The caller cancels the job this long after its submission, if it has not ended. */
	cancelAfterSeconds?: number;
	/** Fails on every worker. */
	isFaulty?: boolean;
}>;

/** Workers that are lost, or that fail every task, for a time. */
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
	/** End of the submissions; fragmentation and utilisation are measured up to here. */
	horizonMs: number;
}>;

export type TraceOptions = Readonly<{seed: number; hours: number}>;

export type TraceFactory = Readonly<{
	name: string;
	create: (options: TraceOptions) => Trace;
	/** Policies that are left out because their pass is too slow for the size of the trace. */
	excludedPolicies?: readonly string[];
}>;

export type Policy = Readonly<{
	name: string;
	decide: (view: PlacementView) => readonly Decision[];
	/** Whether the policy assigns homes and quarantines workers, so that its records are checked. */
	isOurs: boolean;
}>;

export type ReplayResult = Readonly<{
	trace: string;
	policy: string;
	seed: number;
	jobs: number;
	succeeded: number;
	unfinished: number;
	/** Jobs that ended as failed although the fault was a worker's. */
	wronglyFailed: number;
	ratioP50: number;
	ratioP95: number;
	fragmentation: number;
	utilisation: number;
	lostShare: number;
	outageLostShare: number;
	urgentStartP99Seconds: number;
	violations: number;
	partialGangs: number;
	shortfallHours: number;
	evictions: number;
	passes: number;
	passP99Ms: number;
}>;
