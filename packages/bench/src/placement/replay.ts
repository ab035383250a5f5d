import {createEventQueue} from './event-queue.js';
import {handle} from './job-events.js';
import {percentile} from './measure.js';
import {runPass} from './pass-step.js';
import {newObserved, type Event, type Replay} from './replay-state.js';
import type {Policy, ReplayResult, Trace} from './types.js';
import {advance, createWorld} from './world.js';

/** Time from a change to the pass that sees it. */
const PASS_DELAY_MS = 50;

/** Rules that depend on the time that a job waited need a pass also without any change. */
const PERIODIC_PASS_MS = 60_000;

/** Longest time after the last submission; jobs that have not ended by then count with this time. */
const DRAIN_MS = 72 * 3_600_000;

/** Replays a trace in virtual time under a policy. Passes run a fixed delay after the first change that they see. */
export const replayTrace = (trace: Trace, policy: Policy, seed: number): ReplayResult => {
	const events = createEventQueue<Event>();
	const replay: Replay = {world: createWorld(trace), policy, observed: newObserved(), events};
	const {world, observed} = replay;
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
		const isOver = next.atMs > trace.horizonMs + DRAIN_MS || (next.atMs > trace.horizonMs && world.waiting.size === 0);
		if (isOver) {
			break;
		}

		advance(world, next.atMs);
		if (next.event.kind !== 'pass') {
			handle(replay, next.event);
			requestPass(next.atMs + PASS_DELAY_MS);
		} else if (next.atMs === nextPassMs) {
			nextPassMs = Number.POSITIVE_INFINITY;
			runPass(replay);
			if (policy.isOurs && world.waiting.size > 0) {
				requestPass(next.atMs + PERIODIC_PASS_MS);
			}
		}
	}

	for (const id of world.waiting.keys()) {
		const {job, trueSeconds} = world.entries.get(id)!;
		observed.ratios.push((trace.horizonMs + DRAIN_MS - job.submittedAtMs) / 1000 / trueSeconds);
	}

	const {totals} = world;
	const capacity = trace.bundle.racks
		.flatMap(({workers}) => workers)
		.reduce((sum, {accelerators}) => sum + accelerators, 0);
	return {
		trace: trace.name,
		policy: policy.name,
		seed,
		jobs: trace.jobs.length,
		succeeded: observed.succeeded,
		unfinished: world.waiting.size,
		wronglyFailed: observed.wronglyFailed,
		ratioP50: percentile(observed.ratios, 50),
		ratioP95: percentile(observed.ratios, 95),
		fragmentation: totals.fragmentationMs / Math.max(1, totals.measuredMs),
		utilisation: totals.usedInHorizon / (capacity * (Math.max(1, totals.measuredMs) / 1000)),
		lostShare: totals.lost / Math.max(1, totals.used),
		outageLostShare: totals.outageLost / Math.max(1, totals.used),
		urgentStartP99Seconds: percentile(observed.urgentStarts, 99),
		violations: observed.violations,
		partialGangs: observed.partialGangs,
		shortfallHours: observed.shortfallMs / 3_600_000,
		evictions: observed.evictions,
		passes: observed.passMs.length,
		passP99Ms: percentile(observed.passMs, 99),
	};
};
