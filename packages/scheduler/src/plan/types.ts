import type {Resources} from '../types.js';
import type {HeldByPart, Release} from '../reservation/types.js';
import type {PlanPolicy} from './policy.js';

/** A run on a worker, as a candidate for eviction. */
export type PlanPlacement = Readonly<{
	/** Identifies the part, so that all members of a gang count as one. */
	partId: string;
	need: Resources;
	priority: number;
	customer: string;
	/** Uses accelerators that its customer's guarantee covers. */
	isGuaranteed: boolean;
	/** May be evicted; false when too many units of its step would be absent then. */
	isStoppable: boolean;
	/** Can run on any other worker with room and the label: it is no gang, and neither its step nor an approval limits its workers. */
	isMovable: boolean;
	requiredLabel: string | undefined;
	/** Work of the whole part that would be lost by a stop, in core-milliseconds. */
	lostWorkCoreMs: number;
	/** Expected end. */
	endMs: number;
	/** Its resources are being freed: it was ordered to stop, or has ended already. */
	isStopping: boolean;
}>;

export type PlanWorker = Readonly<{
	id: string;
	service: string;
	rack: string;
	labels: readonly string[];
	capacity: Resources;
	free: Resources;
	/** Accepts new work. */
	isUsable: boolean;
	/** Will not accept new work again. */
	isDraining: boolean;
	/** In an availability zone that is evacuated; accepts no new work until that ends. */
	isEvacuated: boolean;
	/** Suspected of failing or slow work; used only when no other worker fits. */
	isSuspect: boolean;
	/** From 0 for a worker that has just completed a run to 1 for one without a recent success. */
	unprovenShare: number;
	/** Runs a part that may crash it. */
	hasCrashSuspect: boolean;
	/** Run time on the worker relative to that on a typical one; above 1 on a slower worker. */
	runFactor: number;
	/** Kinds of the units on the worker, if work that slows other work down is kept apart. */
	kinds: readonly string[];
	/** Latency-sensitive units on the worker suffer from contention. */
	isContended: boolean;
	placements: readonly PlanPlacement[];
}>;

/** A unit that waits for a worker, or a gang that waits for several. */
export type PlanPart = Readonly<{
	id: string;
	/** Kind of work, of which all units are assumed to behave alike. */
	kind: string;
	/** Identifies the step and occurrence, for limits on units of one step on one worker. */
	stepId: string;
	service: string;
	customer: string;
	members: number;
	need: Resources;
	priority: number;
	/** Asks for accelerators that its customer's guarantee covers. */
	isGuaranteed: boolean;
	/** Work of the whole part, in core-milliseconds. */
	workCoreMs: number;
	/** Time for which the part can still wait without missing its objective; negative when the objective is missed already. */
	slackMs: number;
	/** Largest run-time factor of a worker with which the part's job still meets its objective; infinite if it misses it on a typical worker too. */
	maxRunFactor: number;
	sameRack: boolean;
	requiredLabel: string | undefined;
	dataRack: string | undefined;
	maxPerWorker: number;
	/** Runs until it is stopped. */
	isLongRunning: boolean;
	/** Best-effort unit: uses only spare cores. */
	isBestEffort: boolean;
	avoidedWorkers: ReadonlySet<string>;
	/** May crash its workers; `strong` after several crashes, or after one without another possible cause. */
	crashSuspicion: 'none' | 'weak' | 'strong';
	/** Another failed run would use up the attempts of the job. */
	isLastAttempt: boolean;
	/** The only workers on which the part may run; `undefined` allows all. */
	allowedWorkers: ReadonlySet<string> | undefined;
	estimateMs: number;
	waitedMs: number;
	/** Position in the order of planning; lower comes first. */
	rank: number;
}>;

export type PlanView = Readonly<{
	workers: readonly PlanWorker[];
	parts: readonly PlanPart[];
	/** Suspects that run alone on their workers now, by customer. */
	trials: ReadonlyMap<string, number>;
	/** Workers that pending parts keep since an earlier pass. */
	held: HeldByPart;
	/** Units of a step that are on a worker now. */
	unitsOnWorker: (stepId: string, workerId: string) => number;
	/** Slow-down of a kind of work by a neighbour on the same worker, in logarithms; `undefined` while none is known. */
	slowdownOf: ((kind: string, neighbour: string) => number) | undefined;
	nowMs: number;
	remoteFactor: number;
	policy: PlanPolicy;
}>;

export type PlanStart = Readonly<{partId: string; workerIds: readonly string[]}>;

export type Plan = Readonly<{
	starts: readonly PlanStart[];
	/** Parts that are evicted for more urgent ones. */
	evictions: ReadonlyArray<Readonly<{partId: string; forPartId: string}>>;
	/** Workers that get no work of a later rank, since a part that can't be placed yet waits for them. */
	reservations: ReadonlyArray<Readonly<{partId: string; workerIds: readonly string[]}>>;
	/** Workers that pending parts keep for the next pass. */
	held: HeldByPart;
	/** Reservations of earlier passes that were given up. */
	released: readonly Release[];
	/** Parts that the workers can't hold, whatever ends on them. */
	unplaceable: readonly string[];
	/** Started parts that would run on another worker but for the work there, which slows them down or is slowed down. */
	keptApart: ReadonlyArray<Readonly<{partId: string; workerId: string}>>;
}>;
