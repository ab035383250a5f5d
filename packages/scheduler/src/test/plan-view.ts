import {DEFAULT_PLAN_POLICY} from '../plan/policy.js';
import type {PlanPart, PlanPlacement, PlanView, PlanWorker} from '../plan/types.js';

/** An idle worker with 8 accelerators, with changes. */
export const newPlanWorker = (id: string, change: Partial<PlanWorker> = {}): PlanWorker => ({
	id,
	service: 'matching',
	rack: 'r1-1',
	labels: ['a', 'r1-1'],
	capacity: {cpuMillis: 64_000, memoryMb: 64_000, accelerators: 8},
	free: {cpuMillis: 64_000, memoryMb: 64_000, accelerators: 8},
	isUsable: true,
	isDraining: false,
	isEvacuated: false,
	isSuspect: false,
	unprovenShare: 1,
	runFactor: 1,
	kinds: [],
	isContended: false,
	hasCrashSuspect: false,
	placements: [],
	...change,
});

/** A worker whose resources are all taken by the placements. */
export const newFullWorker = (id: string, placements: readonly PlanPlacement[], change: Partial<PlanWorker> = {}) =>
	newPlanWorker(id, {free: {cpuMillis: 0, memoryMb: 0, accelerators: 0}, placements, ...change});

/** A long unit with 8 accelerators of low priority. */
export const newPlacement = (partId: string, change: Partial<PlanPlacement> = {}): PlanPlacement => ({
	partId,
	need: {cpuMillis: 64_000, memoryMb: 64_000, accelerators: 8},
	priority: 2,
	customer: 'other',
	isGuaranteed: false,
	isStoppable: true,
	isMovable: true,
	requiredLabel: undefined,
	lostWorkCoreMs: 1000,
	endMs: 60_000,
	isStopping: false,
	...change,
});

/** An urgent unit with 8 accelerators. */
export const newPlanPart = (id: string, change: Partial<PlanPart> = {}): PlanPart => ({
	id,
	kind: 'ranking',
	stepId: id,
	service: 'matching',
	customer: 'acme',
	members: 1,
	need: {cpuMillis: 8000, memoryMb: 8000, accelerators: 8},
	priority: 0,
	isGuaranteed: false,
	workCoreMs: 100_000,
	slackMs: 1500,
	maxRunFactor: Number.POSITIVE_INFINITY,
	sameRack: false,
	requiredLabel: undefined,
	dataRack: undefined,
	maxPerWorker: 0,
	isLongRunning: false,
	isBestEffort: false,
	avoidedWorkers: new Set(),
	crashSuspicion: 'none',
	isLastAttempt: false,
	allowedWorkers: undefined,
	estimateMs: 2500,
	waitedMs: 0,
	rank: 0,
	...change,
});

export const newPlanView = (workers: readonly PlanWorker[], parts: readonly PlanPart[]): PlanView => ({
	workers,
	parts,
	trials: new Map(),
	held: new Map(),
	unitsOnWorker: () => 0,
	slowdownOf: undefined,
	nowMs: 0,
	remoteFactor: 3,
	policy: DEFAULT_PLAN_POLICY,
});
