import type {JobRecord, Placement, RackRecord} from '@bergamotgauge/model';
import type {PlacementView, RunTimes, TaskOutcome} from '@bergamotgauge/placement';
import {freeCounts} from './measure.js';
import type {Trace, TraceJob} from './types.js';

/** Age from which task outcomes are no longer passed to the policy. */
const OUTCOME_RETENTION_MS = 40 * 60_000;

/** A running attempt. */
export type Attempt = {
	readonly entry: TraceJob;
	readonly placement: Placement;
	readonly rack: string;
	readonly startMs: number;
	/** Start of useful work, after a checkpoint has been restored. */
	readonly workMs: number;
	readonly endMs: number;
	/** Whether it was certain at the start that the attempt fails. */
	readonly isFailing: boolean;
	isEvicting: boolean;
};

/** Totals in accelerator-seconds, unless the name has a unit. */
export type Totals = {
	lost: number;
	outageLost: number;
	used: number;
	usedInHorizon: number;
	fragmentationMs: number;
	measuredMs: number;
};

/** State of the simulated scheduler, workers and jobs of one replay. */
export type Simulation = {
	readonly trace: Trace;
	readonly racks: Map<string, RackRecord>;
	readonly waiting: Map<string, JobRecord>;
	readonly entries: ReadonlyMap<string, TraceJob>;
	readonly running: Map<string, Attempt>;
	readonly savedSeconds: Map<string, number>;
	readonly workersDown: Set<string>;
	readonly failing: Set<string>;
	readonly totals: Totals;
	outcomes: TaskOutcome[];
	runTimes: RunTimes;
	nowMs: number;
};

export const createSimulation = (trace: Trace): Simulation => ({
	trace,
	racks: new Map(),
	waiting: new Map(),
	entries: new Map(trace.jobs.map((entry) => [entry.job.id, entry])),
	running: new Map(),
	savedSeconds: new Map(),
	workersDown: new Set(),
	failing: new Set(),
	totals: {lost: 0, outageLost: 0, used: 0, usedInHorizon: 0, fragmentationMs: 0, measuredMs: 0},
	outcomes: [],
	runTimes: new Map(),
	nowMs: 0,
});

export const viewOf = (simulation: Simulation): PlacementView => {
	simulation.outcomes = simulation.outcomes.filter(({atMs}) => atMs > simulation.nowMs - OUTCOME_RETENTION_MS);
	return {
		bundle: simulation.trace.bundle,
		racks: new Map(simulation.racks),
		jobs: [...simulation.waiting.values()],
		workersDown: new Set(simulation.workersDown),
		nowMs: simulation.nowMs,
		runTimes: simulation.runTimes,
		taskOutcomes: simulation.outcomes,
	};
};

export const changeRecord = (
	simulation: Simulation,
	rack: string,
	change: (record: RackRecord) => Partial<RackRecord>,
): void => {
	const record = simulation.racks.get(rack) ?? {rack, epoch: 0, homes: [], placements: [], quarantines: []};
	simulation.racks.set(rack, {...record, epoch: record.epoch + 1, ...change(record)});
};

/** Releases the accelerators of an attempt and adds its used and lost accelerator-seconds to the totals. */
export const release = (simulation: Simulation, attempt: Attempt, lostSeconds: number, isOutage = false): void => {
	const {placement, rack, startMs} = attempt;
	const {accelerators} = attempt.entry.job;
	simulation.running.delete(placement.job);
	changeRecord(simulation, rack, ({placements}) => ({placements: placements.filter(({job}) => job !== placement.job)}));
	simulation.totals.used += (accelerators * Math.max(0, simulation.nowMs - startMs)) / 1000;
	if (isOutage) {
		simulation.totals.outageLost += accelerators * lostSeconds;
	} else {
		simulation.totals.lost += accelerators * lostSeconds;
	}
};

/** Advances the clock and accumulates fragmentation and utilisation until the end of the submissions. */
export const advance = (simulation: Simulation, toMs: number): void => {
	const {totals, trace} = simulation;
	const passedMs = Math.min(toMs, trace.horizonMs) - simulation.nowMs;
	if (passedMs > 0) {
		const blockSize = Math.max(1, ...trace.bundle.guarantees.map(({accelerators}) => accelerators));
		let free = 0;
		let outside = 0;
		let taken = 0;
		for (const rack of trace.bundle.racks) {
			const record = simulation.racks.get(rack.name);
			const counts = freeCounts(rack, record, blockSize, simulation.workersDown);
			free += counts.free;
			outside += counts.outside;
			for (const {blocks} of record?.placements ?? []) {
				for (const {count} of blocks) {
					taken += count;
				}
			}
		}

		totals.measuredMs += passedMs;
		totals.fragmentationMs += free === 0 ? 0 : (passedMs * outside) / free;
		totals.usedInHorizon += (passedMs * taken) / 1000;
	}

	simulation.nowMs = toMs;
};
