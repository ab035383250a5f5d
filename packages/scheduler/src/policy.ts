import {DEFAULT_PLAN_POLICY, PLAN_POLICY_CHANGES, type PlanPolicy} from './plan/policy.js';
import {rankByUrgency, rankOf, type RankInput} from './rank.js';
import type {RunTimes} from './run-times.js';
import type {WorkerSpeeds} from './speed/worker-speeds.js';
import {isSlowWorker, type UnitSpeed} from './slow-units.js';
import {findStalled} from './stalled-units.js';

/** What is done about work that slows other work down: nothing, measure it, or also keep it apart where there is room. */
export const INTERFERENCE_MODES = ['ignored', 'observed', 'avoided'] as const;

export type InterferenceMode = (typeof INTERFERENCE_MODES)[number];

/** Decisions of the leader that can be replaced for experiments or chosen by the operators. */
export type Policy = Readonly<{
	plan: PlanPolicy;
	rank: (input: RankInput) => number;
	/** Expected run time of a unit with the given estimate of its caller. */
	expectRunMs: (runTimes: RunTimes, queue: string, estimateMs: number) => number;
	/** Run time on the worker relative to that on a typical one. */
	runFactorOf: (speeds: WorkerSpeeds, workerId: string) => number;
	interference: InterferenceMode;
	findStalled: typeof findStalled;
	/** Whether the speeds of the units on a worker show that it is slow. */
	isSlowWorker: (units: ReadonlyArray<Readonly<{speed: UnitSpeed; jobId: string}>>) => boolean;
	/** Whether a failed run counts against its worker. */
	countsFailures: () => boolean;
	/** Whether short urgent runs are polled between the regular reports. */
	pollsUrgentRuns: () => boolean;
	/** Whether the work that waits is published, by which instances refuse jobs that would lose their value. */
	publishesDemand: () => boolean;
	/** Whether a run that ends at `endMs` has to leave a worker that may go at `deadlineMs`. */
	mustMove: (endMs: number, deadlineMs: number) => boolean;
}>;

export const DEFAULT_POLICY: Policy = {
	plan: DEFAULT_PLAN_POLICY,
	rank: rankOf,
	expectRunMs: (runTimes, queue, estimateMs) => runTimes.expectMs(queue, estimateMs),
	runFactorOf: (speeds, workerId) => speeds.runFactorOf(workerId),
	interference: 'ignored',
	findStalled,
	isSlowWorker,
	countsFailures: () => true,
	pollsUrgentRuns: () => true,
	publishesDemand: () => true,
	mustMove: (endMs, deadlineMs) => endMs > deadlineMs,
};

const POLICY_CHANGES = {
	'late-work-last': {rank: rankByUrgency},
	'run-time-learning': {expectRunMs: (_runTimes, _queue, estimateMs) => estimateMs},
	'worker-speeds': {runFactorOf: () => 1},
	'stall-detection': {findStalled: () => undefined},
	'slow-worker-detection': {isSlowWorker: () => false},
	'failure-suspicion': {countsFailures: () => false},
	'urgent-polls': {pollsUrgentRuns: () => false},
	'value-admission': {publishesDemand: () => false},
	'drain-moves': {mustMove: () => false},
} as const satisfies Readonly<Record<string, Partial<Policy>>>;

/** Mechanisms that can be switched off. What guards a promise, such as evictions for guarantees, is not among them. */
export type Mechanism = keyof typeof POLICY_CHANGES | keyof typeof PLAN_POLICY_CHANGES;

export const MECHANISMS = [...Object.keys(POLICY_CHANGES), ...Object.keys(PLAN_POLICY_CHANGES)] as readonly Mechanism[];

export const isMechanism = (name: string): name is Mechanism => (MECHANISMS as readonly string[]).includes(name);

/**
The default policy with some mechanisms switched off.

@example
```ts
const policy = policyWithout(['reservation']);
```
*/
export const policyWithout = (mechanisms: readonly Mechanism[]): Policy => {
	let policy = DEFAULT_POLICY;
	for (const mechanism of mechanisms) {
		policy =
			mechanism in PLAN_POLICY_CHANGES
				? {...policy, plan: {...policy.plan, ...PLAN_POLICY_CHANGES[mechanism as keyof typeof PLAN_POLICY_CHANGES]}}
				: {...policy, ...POLICY_CHANGES[mechanism as keyof typeof POLICY_CHANGES]};
	}

	return policy;
};
