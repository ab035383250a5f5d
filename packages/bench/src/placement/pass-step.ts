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
import {changeRecord, viewOf, type Attempt} from './world.js';

/** Time to write a placement and to prepare and start its workers. */
const START_DELAY_MS = 100;

const STOP_DELAY_MS = 50;

const FAILURE_SECONDS = 20;

const start = ({world, observed, events}: Replay, {rack, placement}: PlaceDecision): void => {
	const entry = world.entries.get(placement.job)!;
	const jobClass = world.trace.bundle.jobClasses.find(({name}) => name === entry.job.jobClass)!;
	const saved = world.savedSeconds.get(entry.job.id) ?? 0;
	const restoreMs = saved > 0 ? jobClass.checkpointSeconds * 1000 : 0;
	const startMs = world.nowMs + START_DELAY_MS;
	const remainingMs = Math.max(0, entry.trueSeconds - saved) * 1000;
	const isFailing = isFailingOn(world, entry, placement.blocks);
	const workMs = startMs + restoreMs;
	const endMs = isFailing ? Math.min(workMs + remainingMs, startMs + FAILURE_SECONDS * 1000) : workMs + remainingMs;
	world.totals.lost += (entry.job.accelerators * restoreMs) / 1000;
	const token = (world.racks.get(rack)?.epoch ?? 0) + 1;
	const stored: Placement = {...placement, token};
	changeRecord(world, rack, ({placements}) => ({placements: [...placements, stored]}));
	const attempt: Attempt = {entry, placement: stored, rack, startMs, workMs, endMs, isFailing, isEvicting: false};
	world.running.set(entry.job.id, attempt);
	events.push(endMs, {kind: 'finish', attempt});
	if (jobClass.urgency === 'urgent' && !observed.started.has(entry.job.id)) {
		observed.started.add(entry.job.id);
		observed.urgentStarts.push((startMs - entry.job.submittedAtMs) / 1000);
	}
};

const evict = ({world, observed, events}: Replay, job: string, graceMs: number): void => {
	const attempt = world.running.get(job)!;
	const jobClass = world.trace.bundle.jobClasses.find(({name}) => name === attempt.entry.job.jobClass)!;
	const checkpointMs = jobClass.checkpointSeconds * 1000;
	const isSaved = checkpointMs > 0 && checkpointMs <= graceMs;
	attempt.isEvicting = true;
	observed.evictions += 1;
	changeRecord(world, attempt.rack, ({placements}) => ({
		placements: placements.map((placement) =>
			placement.job === job ? {...placement, phase: 'evicting', expectedEndMs: world.nowMs + graceMs} : placement,
		),
	}));
	events.push(world.nowMs + (isSaved ? checkpointMs : graceMs) + STOP_DELAY_MS, {kind: 'evicted', attempt, isSaved});
};

const apply = (replay: Replay, decision: Decision): void => {
	const {world, observed} = replay;
	switch (decision.kind) {
		case 'place': {
			start(replay, decision);
			break;
		}

		case 'evict': {
			evict(replay, decision.job, decision.graceMs);
			break;
		}

		case 'homes': {
			changeRecord(world, decision.rack, () => ({homes: decision.homes}));
			break;
		}

		case 'end': {
			world.waiting.delete(decision.job);
			observed.wronglyFailed += Number(!world.entries.get(decision.job)!.isFaulty);
			break;
		}

		case 'wait': {
			break;
		}
	}
};

/** Runs the policy once and carries out its decisions. */
export const runPass = (replay: Replay): void => {
	const {world, policy, observed} = replay;
	if (policy.isOurs) {
		for (const {rack, quarantines} of planQuarantines(viewOf(world))) {
			changeRecord(world, rack, () => ({quarantines}));
		}
	}

	const view = viewOf(world);
	const began = performance.now();
	const decisions = policy.decide(view);
	observed.passMs.push(performance.now() - began);
	for (const decision of decisions) {
		apply(replay, decision);
	}

	if (policy.isOurs) {
		const after = viewOf(world);
		const violations = checkInvariant(after);
		observed.violations += violations.length;
		observed.partialGangs += violations.filter(({kind}) => kind === 'partial-gang').length;
		observed.shortfallMs += observed.shortfalls * (world.nowMs - observed.lastPassMs);
		observed.shortfalls = planReservedBlocks(after).shortfalls.length;
		observed.lastPassMs = world.nowMs;
	}
};
