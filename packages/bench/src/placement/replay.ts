import {createEventQueue} from './event-queue.js';
import {handleEvent} from './job-events.js';
import {percentile} from './measure.js';
import {runPass} from './pass-step.js';
import {createObservations, type Event, type Replay} from './replay-state.js';
import type {Policy, ReplayResult, Trace} from './types.js';
import {advance, createSimulation} from './simulation.js';

/** Delay from a change to the pass that takes it into account. */
const PASS_DELAY_MS = 50;

/** Rules that depend on a job's waiting time require passes even without a change. */
const PERIODIC_PASS_MS = 60_000;

/** Maximum time simulated after the last submission. Jobs that have not ended by then count as completed at that time. */
const DRAIN_MS = 72 * 3_600_000;

/** Replays a trace in virtual time under a policy. A pass runs a fixed delay after the first change since the previous pass. */
export const replayTrace = (trace: Trace, policy: Policy, seed: number): ReplayResult => {
	const events = createEventQueue<Event>();
	const replay: Replay = {simulation: createSimulation(trace), policy, observations: createObservations(), events};
	const {simulation, observations} = replay;
	for (const entry of trace.jobs) {
		events.push(entry.job.submittedAtMs, {kind: 'arrive', entry});
	}

	for (const [index, {fromMs, toMs}] of trace.outages.entries()) {
		for (const [atMs, isStart] of [
			[fromMs, true],
			[toMs, false],
		] as const) {
			events.push(atMs, {kind: 'outage', index, isStart});
		}
	}

	let nextPassMs = Number.POSITIVE_INFINITY;
	const requestPass = (atMs: number) => {
		if (atMs < nextPassMs) {
			nextPassMs = atMs;
			events.push(atMs, {kind: 'pass'});
		}
	};

	requestPass(0);
	for (let next = events.pop(); next; next = events.pop()) {
		const isOver =
			next.atMs > trace.horizonMs + DRAIN_MS || (next.atMs > trace.horizonMs && simulation.waiting.size === 0);
		if (isOver) {
			break;
		}

		advance(simulation, next.atMs);
		if (next.event.kind !== 'pass') {
			handleEvent(replay, next.event);
			requestPass(next.atMs + PASS_DELAY_MS);
		} else if (next.atMs === nextPassMs) {
			nextPassMs = Number.POSITIVE_INFINITY;
			runPass(replay);
			if (policy.isPlanner && simulation.waiting.size > 0) {
				requestPass(next.atMs + PERIODIC_PASS_MS);
			}
		}
	}

	for (const id of simulation.waiting.keys()) {
		const {job, trueSeconds} = simulation.entries.get(id)!;
		observations.ratios.push((trace.horizonMs + DRAIN_MS - job.submittedAtMs) / 1000 / trueSeconds);
	}

	const {totals} = simulation;
	const capacity = trace.bundle.racks
		.flatMap(({workers}) => workers)
		.reduce((sum, {accelerators}) => sum + accelerators, 0);
	return {
		trace: trace.name,
		policy: policy.name,
		seed,
		jobs: trace.jobs.length,
		succeeded: observations.succeeded,
		unfinished: simulation.waiting.size,
		wronglyFailed: observations.wronglyFailed,
		ratioP50: percentile(observations.ratios, 50),
		ratioP95: percentile(observations.ratios, 95),
		fragmentation: totals.fragmentationMs / Math.max(1, totals.measuredMs),
		utilisation: totals.usedInHorizon / (capacity * (Math.max(1, totals.measuredMs) / 1000)),
		lostShare: totals.lost / Math.max(1, totals.used),
		outageLostShare: totals.outageLost / Math.max(1, totals.used),
		urgentStartP99Seconds: percentile(observations.urgentStarts, 99),
		violations: observations.violations,
		partialGangs: observations.partialGangs,
		shortfallHours: observations.shortfallMs / 3_600_000,
		evictions: observations.evictions,
		passes: observations.passMs.length,
		passP99Ms: percentile(observations.passMs, 99),
	};
};
