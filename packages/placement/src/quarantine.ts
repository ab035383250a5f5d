import type {WorkerQuarantine} from '@bergamotgauge/model';
import {
	PROBATION_MS,
	QUARANTINE_CAP,
	QUARANTINE_EVIDENCE_JOBS,
	QUARANTINE_EVIDENCE_MS,
	QUARANTINE_MS,
} from './constants.js';
import {fleetOf, type FleetRack} from './fleet.js';
import {addToCount} from './pass-state.js';
import type {PlacementView, QuarantineChange, TaskOutcome} from './types.js';

type Evidence = ReadonlyMap<string, readonly TaskOutcome[]>;

/** A job that failed on this many workers is assumed to be faulty itself. */
const SUSPECT_JOB_WORKERS = 3;

const byWorker = (outcomes: readonly TaskOutcome[]): Evidence => {
	const evidence = new Map<string, TaskOutcome[]>();
	for (const outcome of outcomes) {
		const known = evidence.get(outcome.worker);
		if (known) {
			known.push(outcome);
		} else {
			evidence.set(outcome.worker, [outcome]);
		}
	}

	return evidence;
};

/** Jobs that failed on so many workers that their failures are no evidence against any one worker. */
const suspectJobs = (outcomes: readonly TaskOutcome[]): ReadonlySet<string> => {
	const workers = new Map<string, Set<string>>();
	for (const {job, worker, isSuccess} of outcomes) {
		if (!isSuccess) {
			workers.set(job, (workers.get(job) ?? new Set()).add(worker));
		}
	}

	return new Set([...workers].filter(([, failedOn]) => failedOn.size >= SUSPECT_JOB_WORKERS).map(([job]) => job));
};

const failedJobsSince = (
	outcomes: readonly TaskOutcome[] | undefined,
	sinceMs: number,
	suspects: ReadonlySet<string>,
): string[] => {
	const lastSuccessMs = Math.max(sinceMs, ...(outcomes ?? []).filter(({isSuccess}) => isSuccess).map(({atMs}) => atMs));
	const failures = (outcomes ?? []).filter(
		({isSuccess, atMs, job}) => !isSuccess && atMs > lastSuccessMs && !suspects.has(job),
	);
	return [...new Set(failures.map(({job}) => job))];
};

/** The next state of a worker that is quarantined or on probation; `undefined` when it returns to service. */
const nextState = (
	quarantine: WorkerQuarantine,
	outcomes: readonly TaskOutcome[] | undefined,
	nowMs: number,
): WorkerQuarantine | undefined => {
	const {worker, untilMs, jobs} = quarantine;
	if (quarantine.state === 'quarantined') {
		return nowMs < untilMs ? quarantine : {worker, state: 'probation', untilMs: nowMs + PROBATION_MS, jobs};
	}

	const sinceMs = untilMs - PROBATION_MS;
	const recent = (outcomes ?? []).filter(({atMs}) => atMs > sinceMs);
	const failure = recent.find(({isSuccess}) => !isSuccess);
	if (failure && !recent.some(({isSuccess}) => isSuccess)) {
		// The worker failed its probation, so the next quarantine is twice as long.
		const evidence = [...new Set([...jobs, failure.job])];
		return {worker, state: 'quarantined', untilMs: nowMs + 2 * QUARANTINE_MS, jobs: evidence};
	}

	return recent.some(({isSuccess}) => isSuccess) || nowMs >= untilMs ? undefined : quarantine;
};

/** A quarantine that the cap may still refuse; `current` is the entry that stays in that case. */
type QuarantineCandidate = Readonly<{
	pool: string;
	entry: WorkerQuarantine;
	jobs: number;
	current: WorkerQuarantine | undefined;
}>;

/** Splits the entries of a rack into those that are kept and the new and renewed quarantines, which the cap may refuse. */
const reviewRack = (
	view: PlacementView,
	{rack, workers}: FleetRack,
	evidence: Evidence,
	suspects: ReadonlySet<string>,
) => {
	const known = new Map((view.racks.get(rack.name)?.quarantines ?? []).map((entry) => [entry.worker, entry]));
	const kept: WorkerQuarantine[] = [];
	const candidates: QuarantineCandidate[] = [];
	for (const {name} of workers) {
		const current = known.get(name);
		if (current) {
			const entry = nextState(current, evidence.get(name), view.nowMs);
			if (entry?.state === 'quarantined' && current.state === 'probation') {
				candidates.push({pool: rack.pool, entry, jobs: entry.jobs.length, current});
			} else if (entry) {
				kept.push(entry);
			}

			continue;
		}

		const jobs = failedJobsSince(evidence.get(name), view.nowMs - QUARANTINE_EVIDENCE_MS, suspects);
		if (jobs.length >= QUARANTINE_EVIDENCE_JOBS) {
			const entry: WorkerQuarantine = {worker: name, state: 'quarantined', untilMs: view.nowMs + QUARANTINE_MS, jobs};
			candidates.push({pool: rack.pool, entry, jobs: jobs.length, current});
		}
	}

	return {kept, candidates};
};

const changeOf = (rack: string, before: readonly WorkerQuarantine[], quarantines: readonly WorkerQuarantine[]) => {
	const states = quarantines.map(({worker, state}) => `${worker} (${state})`).join(', ');
	return JSON.stringify(before) === JSON.stringify(quarantines)
		? []
		: [{rack, quarantines, reason: states === '' ? 'no worker is quarantined' : `quarantines: ${states}`}];
};

/**
Decides from `view.taskOutcomes` which workers are quarantined, on probation or back in service. A worker is quarantined when several different jobs failed on it since its last success, up to a capped share of the pool's workers.

@example
```ts
for (const change of planQuarantines(view)) {
	await writeQuarantines(change);
}
```
*/
export const planQuarantines = (view: PlacementView): readonly QuarantineChange[] => {
	const outcomes = view.taskOutcomes ?? [];
	const evidence = byWorker(outcomes);
	const suspects = suspectJobs(outcomes);
	const {racks} = fleetOf(view.bundle);
	const next = new Map<string, WorkerQuarantine[]>();
	const count = new Map<string, number>();
	const size = new Map<string, number>();
	const candidates: Array<QuarantineCandidate & {rack: string}> = [];
	for (const fleetRack of racks) {
		const {name, pool} = fleetRack.rack;
		const review = reviewRack(view, fleetRack, evidence, suspects);
		next.set(name, review.kept);
		candidates.push(...review.candidates.map((candidate) => ({...candidate, rack: name})));
		addToCount(size, pool, fleetRack.workers.length);
		addToCount(count, pool, review.kept.filter(({state}) => state === 'quarantined').length);
	}

	candidates.sort((a, b) => b.jobs - a.jobs || (a.entry.worker < b.entry.worker ? -1 : 1));
	for (const {rack, pool, entry, current} of candidates) {
		const limit = Math.max(1, Math.floor(size.get(pool)! * QUARANTINE_CAP));
		if (count.get(pool)! < limit) {
			addToCount(count, pool, 1);
			next.get(rack)!.push(entry);
		} else if (current) {
			next.get(rack)!.push(current);
		}
	}

	return [...next].flatMap(([rack, entries]) => changeOf(rack, view.racks.get(rack)?.quarantines ?? [], entries));
};
