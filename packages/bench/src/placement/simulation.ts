import type {JobRecord, Placement, RackRecord} from '@bergamotgauge/model';
import type {PlacementView, RunTimes, TaskOutcome} from '@bergamotgauge/placement';
import {freeCounts} from './measure.js';
import type {Trace, TraceJob} from './types.js';

/** Outcomes older than this are no longer passed to the policy. */
const OUTCOME_LIFETIME_MS = 40 * 60_000;

/** A running attempt. */
export type Attempt = {
	readonly entry: TraceJob;
	readonly placement: Placement;
	readonly rack: string;
	readonly startMs: number;
	/** Start of useful work, after the restore of a checkpoint. */
	readonly workMs: number;
	readonly endMs: number;
	/** Set when the attempt was bound to fail at its start. */
	readonly isFailing: boolean;
	isEvicting: boolean;
};

export type Totals = {
	lost: number;
	outageLost: number;
	used: number;
	usedInHorizon: number;
	fragmentationMs: number;
	measuredMs: number;
};

/** All state of one replay. */
export type World = {
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

export const createWorld = (trace: Trace): World => ({
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

export const viewOf = (world: World): PlacementView => {
	world.outcomes = world.outcomes.filter(({atMs}) => atMs > world.nowMs - OUTCOME_LIFETIME_MS);
	return {
		bundle: world.trace.bundle,
		racks: new Map(world.racks),
		jobs: [...world.waiting.values()],
		workersDown: new Set(world.workersDown),
		nowMs: world.nowMs,
		runTimes: world.runTimes,
		taskOutcomes: world.outcomes,
	};
};

export const changeRecord = (world: World, rack: string, change: (record: RackRecord) => Partial<RackRecord>): void => {
	const record = world.racks.get(rack) ?? {rack, epoch: 0, homes: [], placements: [], quarantines: []};
	world.racks.set(rack, {...record, epoch: record.epoch + 1, ...change(record)});
};

/** Takes an attempt off its accelerators and counts what it used and lost. */
export const release = (world: World, attempt: Attempt, lostSeconds: number, isOutage = false): void => {
	const {placement, rack, startMs} = attempt;
	const {accelerators} = attempt.entry.job;
	world.running.delete(placement.job);
	changeRecord(world, rack, ({placements}) => ({placements: placements.filter(({job}) => job !== placement.job)}));
	world.totals.used += (accelerators * Math.max(0, world.nowMs - startMs)) / 1000;
	if (isOutage) {
		world.totals.outageLost += accelerators * lostSeconds;
	} else {
		world.totals.lost += accelerators * lostSeconds;
	}
};

/** Moves the clock on and adds up fragmentation and utilisation until the end of the submissions. */
export const advance = (world: World, toMs: number): void => {
	const {totals, trace} = world;
	const passedMs = Math.min(toMs, trace.horizonMs) - world.nowMs;
	if (passedMs > 0) {
		const shape = Math.max(1, ...trace.bundle.guarantees.map(({accelerators}) => accelerators));
		let free = 0;
		let outside = 0;
		let taken = 0;
		for (const rack of trace.bundle.racks) {
			const record = world.racks.get(rack.name);
			const counts = freeCounts(rack, record, shape, world.workersDown);
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

	world.nowMs = toMs;
};
