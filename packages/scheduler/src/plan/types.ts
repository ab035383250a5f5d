import type {Room} from '../types.js';

/** A run on a worker that could give way. */
export type PlanPlacement = Readonly<{
	/** Identifies the part, so that all members of a gang count as one. */
	partId: string;
	need: Room;
	priority: number;
	customer: string;
	/** Holds accelerators that its customer's guarantee covers. */
	isGuaranteed: boolean;
	/** May be stopped for other work; false where too many units of its step would be away. */
	isStoppable: boolean;
	/** Work of the whole part that a stop would throw away, in core-milliseconds. */
	lossCoreMs: number;
	/** Expected end. */
	endMs: number;
	/** Runs until it is stopped, or stops already. */
	isStopping: boolean;
}>;

export type PlanWorker = Readonly<{
	id: string;
	service: string;
	rack: string;
	labels: readonly string[];
	capacity: Room;
	free: Room;
	/** Takes new work. */
	isUsable: boolean;
	/** Takes no new work for good. */
	isLeaving: boolean;
	/** Under suspicion of failing or slow work; used only when no other worker fits. */
	isSuspect: boolean;
	/** Units with users of their own are short of room there. */
	isCrowded: boolean;
	placements: readonly PlanPlacement[];
}>;

/** A part that waits for a worker, or a gang that waits for several. */
export type PlanPart = Readonly<{
	id: string;
	/** Identifies the step and occurrence, for limits on units of one step on one worker. */
	stepId: string;
	service: string;
	customer: string;
	members: number;
	need: Room;
	priority: number;
	/** Asks for accelerators that its customer's guarantee covers. */
	isGuaranteed: boolean;
	/** Work of the whole part, in core-milliseconds. */
	workCoreMs: number;
	/** Time for which the part can still wait without missing what was promised; negative when it is missed. */
	slackMs: number;
	sameRack: boolean;
	requiredLabel: string | undefined;
	dataRack: string | undefined;
	maxPerWorker: number;
	/** Uses the cores that other units leave. */
	usesLeftover: boolean;
	avoidedWorkers: ReadonlySet<string>;
	/** The only workers on which the part may run; `undefined` allows all. */
	allowedWorkers: ReadonlySet<string> | undefined;
	estimateMs: number;
	waitedMs: number;
	/** Order of service; lower comes first. */
	rank: number;
}>;

export type PlanView = Readonly<{
	workers: readonly PlanWorker[];
	parts: readonly PlanPart[];
	/** Units of a step that are on a worker now. */
	unitsOnWorker: (stepId: string, workerId: string) => number;
	nowMs: number;
	remoteFactor: number;
}>;

export type PlanStart = Readonly<{partId: string; workerIds: readonly string[]}>;

export type Plan = Readonly<{
	starts: readonly PlanStart[];
	/** Parts that give way to more urgent ones. */
	evictions: ReadonlyArray<Readonly<{partId: string; forPartId: string}>>;
}>;
