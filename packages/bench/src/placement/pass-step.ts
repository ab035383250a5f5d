import {performance} from 'node:perf_hooks';
import type {Placement} from '@bergamotgauge/model';
import {
	checkInvariant,
	planReservedBlocks,
	planQuarantines,
	type Decision,
	type PlaceDecision,
} from '@bergamotgauge/placement';
import {isFailingOn} from './job-events.js';
import type {Replay} from './replay-state.js';
import {changeRecord, viewOf, type Attempt} from './simulation.js';

/** Time to store a placement and to prepare and start its tasks. */
const START_DELAY_MS = 100;

/** Time to stop the tasks of an attempt after its checkpoint or its grace period. */
const STOP_DELAY_MS = 50;

/** Maximum time from the start of a failing attempt until it fails. */
const FAILURE_SECONDS = 20;

const startAttempt = ({simulation, observations, events}: Replay, {rack, placement}: PlaceDecision): void => {
	const entry = simulation.entries.get(placement.job)!;
	const jobClass = simulation.trace.bundle.jobClasses.find(({name}) => name === entry.job.jobClass)!;
	const saved = simulation.savedSeconds.get(entry.job.id) ?? 0;
	const restoreMs = saved > 0 ? jobClass.checkpointSeconds * 1000 : 0;
	const startMs = simulation.nowMs + START_DELAY_MS;
	const remainingMs = Math.max(0, entry.trueSeconds - saved) * 1000;
	const isFailing = isFailingOn(simulation, entry, placement.blocks);
	const workMs = startMs + restoreMs;
	const endMs = isFailing ? Math.min(workMs + remainingMs, startMs + FAILURE_SECONDS * 1000) : workMs + remainingMs;
	simulation.totals.lost += (entry.job.accelerators * restoreMs) / 1000;
	const token = (simulation.racks.get(rack)?.epoch ?? 0) + 1;
	const stored: Placement = {...placement, token};
	changeRecord(simulation, rack, ({placements}) => ({placements: [...placements, stored]}));
	const attempt: Attempt = {entry, placement: stored, rack, startMs, workMs, endMs, isFailing, isEvicting: false};
	simulation.running.set(entry.job.id, attempt);
	events.push(endMs, {kind: 'finish', attempt});
	if (jobClass.urgency === 'urgent' && !observations.started.has(entry.job.id)) {
		observations.started.add(entry.job.id);
		observations.urgentStarts.push((startMs - entry.job.submittedAtMs) / 1000);
	}
};

const startEviction = ({simulation, observations, events}: Replay, job: string, graceMs: number): void => {
	const attempt = simulation.running.get(job)!;
	const jobClass = simulation.trace.bundle.jobClasses.find(({name}) => name === attempt.entry.job.jobClass)!;
	const checkpointMs = jobClass.checkpointSeconds * 1000;
	const isSaved = checkpointMs > 0 && checkpointMs <= graceMs;
	attempt.isEvicting = true;
	observations.evictions += 1;
	changeRecord(simulation, attempt.rack, ({placements}) => ({
		placements: placements.map((placement) =>
			placement.job === job ? {...placement, phase: 'evicting', expectedEndMs: simulation.nowMs + graceMs} : placement,
		),
	}));
	events.push(simulation.nowMs + (isSaved ? checkpointMs : graceMs) + STOP_DELAY_MS, {
		kind: 'evicted',
		attempt,
		isSaved,
	});
};

const applyDecision = (replay: Replay, decision: Decision): void => {
	const {simulation, observations} = replay;
	switch (decision.kind) {
		case 'place': {
			startAttempt(replay, decision);
			break;
		}

		case 'evict': {
			startEviction(replay, decision.job, decision.graceMs);
			break;
		}

		// The reserved blocks of a rack.
		case 'homes': {
			changeRecord(simulation, decision.rack, () => ({homes: decision.homes}));
			break;
		}

		case 'end': {
			simulation.waiting.delete(decision.job);
			observations.wronglyFailed += Number(!simulation.entries.get(decision.job)!.isFaulty);
			break;
		}

		case 'wait': {
			break;
		}
	}
};

/** Runs one pass of the policy and applies its decisions. */
export const runPass = (replay: Replay): void => {
	const {simulation, policy, observations} = replay;
	if (policy.isPlanner) {
		for (const {rack, quarantines} of planQuarantines(viewOf(simulation))) {
			changeRecord(simulation, rack, () => ({quarantines}));
		}
	}

	const view = viewOf(simulation);
	const startedMs = performance.now();
	const decisions = policy.decide(view);
	observations.passMs.push(performance.now() - startedMs);
	for (const decision of decisions) {
		applyDecision(replay, decision);
	}

	if (policy.isPlanner) {
		const after = viewOf(simulation);
		const violations = checkInvariant(after);
		observations.violations += violations.length;
		observations.partialGangs += violations.filter(({kind}) => kind === 'partial-gang').length;
		observations.shortfallMs += observations.shortfalls * (simulation.nowMs - observations.lastPassMs);
		observations.shortfalls = planReservedBlocks(after).shortfalls.length;
		observations.lastPassMs = simulation.nowMs;
	}
};
